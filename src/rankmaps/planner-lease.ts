/**
 * Leader election for a group's planner: a lease that the platform's store
 * grants to one member of a consumer group. The generation of the assignment
 * increases with each change and fences the orders of earlier holders.
 *
 * While the store is unreachable the holder keeps planning. Nobody else can get
 * the lease then, and if the store has granted it to someone else unnoticed,
 * the orders of that newer generation fence this holder's orders. When the
 * store is rolled back to an older copy, it may grant the lease under a
 * generation that was used before, so a holder loses the lease until the store
 * grants it again.
 */
import { pause } from "../daemon/background-task.js";
import {
  createDeferred,
  toFailure,
  type Deferred,
  type Emit,
} from "../internal.js";
import { FIRST_ERA } from "../platform/store-era.js";
import { generationAcrossEras, hasSafeVersions } from "./map-versions.js";

export interface LeaseAssignment {
  /** Increases with each change within one era of the store. */
  readonly generation: number;
  readonly era: number;
  readonly isHolder: boolean;
}

export interface LeaseService {
  /** Joins the group or renews the membership. Throws 1901. */
  readonly join: (
    group: string,
    member: string,
    generation: number,
    leaseMs: number,
  ) => Promise<LeaseAssignment>;
  readonly leave: (group: string, member: string) => Promise<void>;
}

export interface PlannerLeaseOptions {
  readonly service: LeaseService;
  readonly emit: Emit;
  /** Latest era of the store reported by any of its responses. */
  readonly era: () => number;
  /**
   * Unique for every run of the process, so that a restart counts as a change.
   */
  readonly member: string;
  readonly leastLeaseMs: number;
}

/**
 * Time without a renewal after which a member loses the lease. When a planner
 * is killed, its group has no planner for this long.
 */
const LEASE_MS = 1600;
/**
 * Several renewals fit into a lease, so that one lost response doesn't matter.
 */
const RENEWALS_PER_LEASE = 3;
/**
 * Renewal interval while assignments change, ms. When all agents of a group
 * start together, the lease moves with most joins, and each holder learns of
 * that only with its next renewal. At the normal interval the group would have
 * no planner for seconds.
 */
const UNSETTLED_INTERVAL_MS = 120;
/** Assignments that haven't changed for this long count as settled, ms. */
const SETTLED_AFTER_MS = 700;

/** Time until the next renewal, ms. */
export function renewalPauseMs(leaseMs: number, sinceChangeMs: number): number {
  const settledMs = leaseMs / RENEWALS_PER_LEASE;
  if (sinceChangeMs >= SETTLED_AFTER_MS) return settledMs;
  return Math.min(settledMs, UNSETTLED_INTERVAL_MS);
}

const NO_ASSIGNMENT: LeaseAssignment = {
  generation: 0,
  era: FIRST_ERA,
  isHolder: false,
};

export class PlannerLease {
  private assignment: LeaseAssignment = NO_ASSIGNMENT;
  /** Generation that was relinquished last; -1 if none was. */
  private relinquished = -1;
  /** Whether the store may list this process as a member of the group. */
  private isMember = false;
  private isStoreUnreachable = false;
  private changedAtMs = performance.now();
  private nextChange: Deferred<undefined> = createDeferred();

  private constructor(private readonly options: PlannerLeaseOptions) {}

  static create(options: PlannerLeaseOptions): PlannerLease {
    return new PlannerLease(options);
  }

  /**
   * Fences the holder's orders and increases across eras of the store;
   * undefined while this process doesn't hold the lease.
   */
  get generation(): number | undefined {
    const { era, generation, isHolder } = this.assignment;
    if (!isHolder || !hasSafeVersions(era, generation)) return undefined;
    if (this.isRelinquished || era !== this.options.era()) return undefined;
    return this.fullGeneration;
  }

  /** Resolves when the lease is next acquired or lost. */
  get change(): Promise<undefined> {
    return this.nextChange.promise;
  }

  /**
   * Stops planning under this generation: someone has used a higher one, or its
   * versions are used up.
   */
  relinquish(): void {
    this.relinquished = this.fullGeneration;
  }

  /**
   * Keeps this process in the group while it is a candidate, until the signal
   * aborts. A holder stays.
   */
  async run(
    group: string,
    signal: AbortSignal,
    isCandidate: () => boolean,
  ): Promise<void> {
    const { leastLeaseMs } = this.options;
    const leaseMs = Math.max(leastLeaseMs, LEASE_MS);
    while (!signal.aborted) {
      if (isCandidate() || this.assignment.isHolder) {
        await this.renew(group, leaseMs);
      } else if (this.isMember) await this.withdraw(group);
      const sinceChangeMs = performance.now() - this.changedAtMs;
      await pause(renewalPauseMs(leaseMs, sinceChangeMs), signal);
    }
    await this.leave(group);
  }

  private async renew(group: string, leaseMs: number): Promise<void> {
    const { service, member, emit } = this.options;
    this.isMember = true;
    try {
      if (this.isRelinquished) await this.releaseRelinquished(group);
      // Naming a generation of an earlier era would confirm assignments that
      // this process hasn't seen.
      const isCurrentEra = this.assignment.era === this.options.era();
      const generation = isCurrentEra ? this.assignment.generation : 0;
      const next = await service.join(group, member, generation, leaseMs);
      if (this.isStoreUnreachable) emit(192, { stream: "seats", outageMs: 0 });
      this.isStoreUnreachable = false;
      this.updateAssignment(next);
    } catch (error) {
      if (!this.isStoreUnreachable) {
        emit(191, { stream: "seats", reason: toFailure(error, 1901).message });
      }
      this.isStoreUnreachable = true;
    }
  }

  /** The assignment's generation, comparable across eras. */
  private get fullGeneration(): number {
    const { era, generation } = this.assignment;
    return generationAcrossEras(era, generation);
  }

  private get isRelinquished(): boolean {
    return this.assignment.isHolder && this.fullGeneration <= this.relinquished;
  }

  /**
   * Leaves the group so that the store grants the lease under a new generation;
   * nobody plans until then.
   */
  private async releaseRelinquished(group: string): Promise<void> {
    const { service, member } = this.options;
    await service.leave(group, member);
    this.clearAssignment();
  }

  private updateAssignment(next: LeaseAssignment): void {
    const { emit } = this.options;
    const before = this.assignment;
    const fencing = this.fullGeneration;
    this.assignment = next;
    if (fencing !== this.fullGeneration) this.changedAtMs = performance.now();
    const isSameEra = before.era === next.era;
    if (before.isHolder && !isSameEra) {
      emit(174, { fencing, reason: "store restored from an older copy" });
    }
    if ((before.isHolder && isSameEra) === next.isHolder) return;
    this.nextChange.resolve(undefined);
    this.nextChange = createDeferred();
    if (next.isHolder) emit(173, { fencing: this.fullGeneration });
    else emit(174, { fencing, reason: "superseded" });
  }

  /**
   * Others are candidates; if this process stayed in the group, the store might
   * grant it the lease.
   */
  private async withdraw(group: string): Promise<void> {
    await this.leave(group);
    this.isMember = false;
    this.clearAssignment();
  }

  private clearAssignment(): void {
    this.updateAssignment({ ...NO_ASSIGNMENT, era: this.assignment.era });
  }

  /**
   * Leaves early, so that the next holder needn't wait for the lease to expire.
   */
  private async leave(group: string): Promise<void> {
    const { service, member, emit } = this.options;
    try {
      await service.leave(group, member);
    } catch (error) {
      emit(191, { stream: "seats", reason: toFailure(error, 1901).message });
    }
  }
}
