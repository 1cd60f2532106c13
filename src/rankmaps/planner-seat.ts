/**
 * Which agent plans for a group: a seat that the platform's store gives to one
 * member of a consumer group. The generation of the assignment rises with each
 * change and fences the orders of whoever held the seat before.
 *
 * While the store is away the holder goes on: nobody else can get the seat
 * then, and if the store gave it away unseen, the newer generation's orders
 * overtake ours. When the store comes back from an older copy, it may give the
 * seat and its generations out again: whoever had it has it no more until the
 * store says so anew.
 */
import { pause } from "../daemon/background-task.js";
import {
  createDeferred,
  toFailure,
  type Deferred,
  type Emit,
} from "../internal.js";
import { FIRST_ERA } from "../platform/store-era.js";
import { generationOf, isNumberable } from "./map-versions.js";

export interface SeatAssignment {
  /** Rises with each change, within one era of the store. */
  readonly generation: number;
  readonly era: number;
  readonly isHolder: boolean;
}

export interface SeatService {
  /** Joins, or stays in, the group. Throws 1901. */
  readonly join: (
    group: string,
    member: string,
    generation: number,
    leaseMs: number,
  ) => Promise<SeatAssignment>;
  readonly leave: (group: string, member: string) => Promise<void>;
}

export interface PlannerSeatOptions {
  readonly service: SeatService;
  readonly emit: Emit;
  /** The store's, as far as any of its answers has told. */
  readonly era: () => number;
  /** New for every life of the process, so that a restart is a change. */
  readonly member: string;
  readonly leastLeaseMs: number;
}

/**
 * Silence after which a member has lost the seat, ms: a group is without a
 * planner for that long when its planner is killed.
 */
const LEASE_MS = 1600;
/** Several renewals fit a lease, so that one lost answer costs nothing. */
const RENEWALS_EACH_LEASE = 3;
/**
 * Renewals while assignments change, ms. When all agents of a group start
 * together, the seat moves with most joins: its holder hears of that with its
 * next renewal, and the one after it with its own. At the usual pace the group
 * would have no planner for seconds.
 */
const UNSETTLED_INTERVAL_MS = 120;
/** Assignments that haven't changed for so long are settled, ms. */
const SETTLED_AFTER_MS = 700;

/** Time to the next renewal, ms. */
export function renewalPauseMs(leaseMs: number, sinceChangeMs: number): number {
  const settledMs = leaseMs / RENEWALS_EACH_LEASE;
  if (sinceChangeMs >= SETTLED_AFTER_MS) return settledMs;
  return Math.min(settledMs, UNSETTLED_INTERVAL_MS);
}

const NO_SEAT: SeatAssignment = {
  generation: 0,
  era: FIRST_ERA,
  isHolder: false,
};

export class PlannerSeat {
  private assignment: SeatAssignment = NO_SEAT;
  private givenUp = -1;
  /** The store may count this process among the group's members. */
  private isMember = false;
  private isLost = false;
  private changedAtMs = performance.now();
  private nextTurn: Deferred<undefined> = createDeferred();

  private constructor(private readonly options: PlannerSeatOptions) {}

  static create(options: PlannerSeatOptions): PlannerSeat {
    return new PlannerSeat(options);
  }

  /**
   * Fences the holder's orders, and rises over all eras of the store; undefined
   * without the seat.
   */
  get generation(): number | undefined {
    const { era, generation, isHolder } = this.assignment;
    if (!isHolder || !isNumberable(era, generation)) return undefined;
    if (this.isGivenUp || era !== this.options.era()) return undefined;
    return this.number;
  }

  /** Resolves when the seat next comes or goes. */
  get turn(): Promise<undefined> {
    return this.nextTurn.promise;
  }

  /**
   * Nothing can be ordered under this generation any more: somebody with a
   * higher one has used it, or its versions are used up.
   */
  giveUp(): void {
    this.givenUp = this.number;
  }

  /**
   * Keeps this process in the group until the signal aborts, while it stands for
   * the seat; a holder stays.
   */
  async run(
    group: string,
    signal: AbortSignal,
    stands: () => boolean,
  ): Promise<void> {
    const { leastLeaseMs } = this.options;
    const leaseMs = Math.max(leastLeaseMs, LEASE_MS);
    while (!signal.aborted) {
      if (stands() || this.assignment.isHolder) {
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
      if (this.isGivenUp) await this.giveBack(group);
      // Taken for one of this era, the number would confirm what wasn't seen.
      const isPresent = this.assignment.era === this.options.era();
      const generation = isPresent ? this.assignment.generation : 0;
      const next = await service.join(group, member, generation, leaseMs);
      if (this.isLost) emit(192, { stream: "seats", outageMs: 0 });
      this.isLost = false;
      this.take(next);
    } catch (error) {
      if (!this.isLost) {
        emit(191, { stream: "seats", reason: toFailure(error, 1901).message });
      }
      this.isLost = true;
    }
  }

  /** That of the assignment, over all eras. */
  private get number(): number {
    const { era, generation } = this.assignment;
    return generationOf(era, generation);
  }

  private get isGivenUp(): boolean {
    return this.assignment.isHolder && this.number <= this.givenUp;
  }

  /**
   * The seat is ours and of no use. Nobody plans until it has a new generation.
   */
  private async giveBack(group: string): Promise<void> {
    const { service, member } = this.options;
    await service.leave(group, member);
    this.takeNone();
  }

  private take(next: SeatAssignment): void {
    const { emit } = this.options;
    const before = this.assignment;
    const fencing = this.number;
    this.assignment = next;
    if (fencing !== this.number) this.changedAtMs = performance.now();
    const isSameEra = before.era === next.era;
    if (before.isHolder && !isSameEra) {
      emit(174, { fencing, reason: "store came back" });
    }
    if ((before.isHolder && isSameEra) === next.isHolder) return;
    this.nextTurn.resolve(undefined);
    this.nextTurn = createDeferred();
    if (next.isHolder) emit(173, { fencing: this.number });
    else emit(174, { fencing, reason: "superseded" });
  }

  /** Others stand: left in the group, it might get the seat. */
  private async withdraw(group: string): Promise<void> {
    await this.leave(group);
    this.isMember = false;
    this.takeNone();
  }

  private takeNone(): void {
    this.take({ ...NO_SEAT, era: this.assignment.era });
  }

  /** So that the next one need not wait for the lease to run out. */
  private async leave(group: string): Promise<void> {
    const { service, member, emit } = this.options;
    try {
      await service.leave(group, member);
    } catch (error) {
      emit(191, { stream: "seats", reason: toFailure(error, 1901).message });
    }
  }
}
