/**
 * Guards a step that this agent's rank holds for the planner. If the planner
 * dies or freezes between hold and release, or can't continue because another
 * rank stopped answering, the whole group would wait until another planner has
 * the lease, seconds later; callers abandon their streams by then. The holder's
 * agent resolves the step instead, as any planner would.
 */
import { pause } from "../daemon/background-task.js";
import { toFailure, type Emit } from "../internal.js";
import { compareIncarnations } from "../membership/incarnation.js";
import { resolveHeldStep } from "./held-step-resolution.js";
import type { RelayedMaps } from "./relayed-maps.js";
import { isArmedHolder, type AddressedOrder } from "./switch-orders.js";
import type {
  AgentOrder,
  GroupRank,
  OrderFence,
  RankPort,
  RankState,
  WatchedHold,
} from "./types.js";

export interface HoldGuardOptions {
  readonly port: RankPort;
  readonly emit: Emit;
  /** All ranks of the group. Throws 1901 or 1607. */
  readonly group: () => Promise<readonly GroupRank[]>;
  /** Maps that this agent's rank was ordered to prepare. */
  readonly maps: RelayedMaps;
  readonly signal: AbortSignal;
}

/** A rank and its state; undefined while it can't be reached. */
interface ObservedRank {
  readonly rank: Pick<GroupRank, "order">;
  readonly state: RankState | undefined;
}

/**
 * Time after which the planner counts as frozen, ms. From hold to release it
 * takes about 20 ms; an order without a response adds about 100 ms.
 */
const PLANNER_TIMEOUT_MS = 150;
/**
 * Time that a group may stand still at the held step before the planner counts
 * as frozen, ms. Until it gets there, a planner of many ranks may still be
 * arming them.
 */
const STANDSTILL_TIMEOUT_MS = 50;
/** The planner counts as frozen even if the group isn't there yet, ms. */
const LONGEST_SWITCH_MS = 1200;
/** Interval between observations, ms. */
const POLL_INTERVAL_MS = 25;
/**
 * A rank whose agent takes longer than this to answer counts as unreachable for
 * the observation. An agent answers in under 10 ms, and the group is waiting.
 * The next observation doesn't wait for that rank, because cancelling a switch
 * takes five observations.
 */
const OBSERVE_TIMEOUT_MS = 80;
/** After this time the guard leaves the step to a planner, ms. */
const MAXIMUM_WATCH_MS = 6000;

export class HoldGuard {
  private readonly watched = new Set<WatchedHold>();

  private constructor(private readonly options: HoldGuardOptions) {}

  static create(options: HoldGuardOptions): HoldGuard {
    return new HoldGuard(options);
  }

  /**
   * Call before this agent's rank is ordered to hold the step. Each hold is
   * watched separately: one of an earlier incarnation or epoch, whose group no
   * longer exists, must not prevent the next one from being watched.
   */
  watch(hold: WatchedHold): void {
    const watched = [...this.watched];
    if (watched.some((known) => isSameHold(known, hold))) return;
    void this.run(hold);
  }

  private async run(hold: WatchedHold): Promise<void> {
    this.watched.add(hold);
    await this.pollUntilResolved(hold);
    this.watched.delete(hold);
  }

  private async pollUntilResolved(hold: WatchedHold): Promise<void> {
    const { signal, emit } = this.options;
    const { step } = hold;
    const startedAtMs = performance.now();
    const elapsedMs = (): number => performance.now() - startedAtMs;
    await pause(PLANNER_TIMEOUT_MS, signal);
    const unresponsive = new Set<string>();
    let isReported = false;
    let standsSinceMs: number | undefined;
    while (!signal.aborted && elapsedMs() < MAXIMUM_WATCH_MS) {
      try {
        const own = await this.options.port.observe();
        if (!isHeldBy(own, hold)) return;
        if (own.step >= step - 1) standsSinceMs ??= elapsedMs();
        const isOverdue =
          elapsedMs() >= LONGEST_SWITCH_MS ||
          (standsSinceMs !== undefined &&
            elapsedMs() - standsSinceMs >= STANDSTILL_TIMEOUT_MS);
        if (!isOverdue) {
          await pause(POLL_INTERVAL_MS, signal);
          continue;
        }
        if (!isReported) emit(164, { step, heldMs: Math.round(elapsedMs()) });
        isReported = true;
        await this.resolve(own, hold, unresponsive);
      } catch (error) {
        this.reportUnreachable(error);
      }
      await pause(POLL_INTERVAL_MS, signal);
    }
  }

  /** `unresponsive`: addresses that didn't answer the last observation. */
  private async resolve(
    own: RankState,
    { fence }: WatchedHold,
    unresponsive: Set<string>,
  ): Promise<void> {
    const { maps, port } = this.options;
    const placeholderMap = maps.placeholderMap(own.mapVersion);
    // This agent started after the map was prepared, so a planner has to
    // resolve the step.
    if (placeholderMap === undefined) return;
    // If the holder isn't armed, no rank is: the others, which may be
    // unreachable, needn't be observed.
    const observed = isArmedHolder(own)
      ? await this.observeGroup(own, unresponsive)
      : [{ rank: port, state: own }];
    const reached = observed.flatMap(({ state }) => state ?? []);
    const holder = reached.find(({ rank }) => rank === own.rank);
    if (holder === undefined || holder.heldStep !== own.heldStep) return;
    const { highestVersion } = maps;
    const inputs = { reached, holder, placeholderMap, highestVersion };
    await this.send(observed, resolveHeldStep(inputs), fence);
  }

  /** Observes the reachable ranks of this agent's group in its epoch. */
  private async observeGroup(
    own: RankState,
    unresponsive: Set<string>,
  ): Promise<readonly ObservedRank[]> {
    const ranks = await this.options.group();
    const states = new Map<GroupRank, RankState>();
    const requests = ranks.map(async (rank) => {
      const state = await this.stateOf(rank);
      if (state !== undefined) states.set(rank, state);
    });
    const isAwaited = ({ address }: GroupRank): boolean =>
      !unresponsive.has(address);
    const awaited = requests.filter((_, index) => isAwaited(ranks[index]));
    const timeout = pause(OBSERVE_TIMEOUT_MS, this.options.signal);
    await Promise.race([Promise.all(awaited), timeout]);
    for (const rank of ranks) {
      if (states.has(rank)) unresponsive.delete(rank.address);
      else unresponsive.add(rank.address);
    }
    return ranks.map((rank) => {
      const state = states.get(rank);
      // A state of an earlier incarnation counts as unreachable for this
      // observation.
      const isSuperseded = rank.isSuperseded(state?.startedAtMs);
      const isPresent = state !== undefined && isSameGroup(state, own);
      return { rank, state: isPresent && !isSuperseded ? state : undefined };
    });
  }

  private async send(
    observed: readonly ObservedRank[],
    orders: readonly AddressedOrder<AgentOrder>[],
    fence: OrderFence,
  ): Promise<void> {
    await Promise.all(
      orders.map(async ({ rank, order }) => {
        const target = observed.find(({ state }) => state?.rank === rank)?.rank;
        try {
          await target?.order(order, fence);
        } catch (error) {
          this.reportUnreachable(error);
        }
      }),
    );
  }

  private async stateOf(rank: GroupRank): Promise<RankState | undefined> {
    const request = { withCounts: false, withExperts: false };
    try {
      const observation = await rank.observe(request);
      return observation.state;
    } catch (error) {
      this.reportUnreachable(error);
      return undefined;
    }
  }

  private reportUnreachable(error: unknown): void {
    const { message } = toFailure(error, 1607);
    this.options.emit(223, { reason: message });
  }
}

/** A later incarnation or epoch may hold a step with the same number. */
function isHeldBy(
  own: RankState,
  { step, fence, startedAtMs }: WatchedHold,
): boolean {
  const order = compareIncarnations(startedAtMs, own.startedAtMs);
  if (order === "later" || own.epoch !== fence.epoch) return false;
  return own.heldStep === step;
}

function isSameGroup(state: RankState, own: RankState): boolean {
  return state.isOpen && state.group === own.group && state.epoch === own.epoch;
}

function isSameHold(known: WatchedHold, hold: WatchedHold): boolean {
  return (
    known.step === hold.step &&
    known.startedAtMs === hold.startedAtMs &&
    known.fence.epoch === hold.fence.epoch &&
    known.fence.fencing === hold.fence.fencing
  );
}
