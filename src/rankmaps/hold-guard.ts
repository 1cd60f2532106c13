/**
 * Watches over a step that this agent's rank holds for the planner. A planner
 * that dies or freezes between hold and release would keep the whole group
 * waiting until another one has the seat, seconds later; callers give their
 * streams up by then. The holder finishes the switch in its place, or gives it
 * up when the planner's rank can't be reached.
 *
 * Finishing is safe without the seat: it only arms ranks for the step that is
 * held already, and releases it once all are armed, which is what any planner
 * would do. Giving up needs engines that check fencing numbers.
 */
import { pause } from "../daemon/background-task.js";
import { toFailure, type Emit } from "../internal.js";
import { orderOfLives } from "../membership/life.js";
import { backOutOrders } from "./back-out.js";
import { FencedRanks } from "./fenced-ranks.js";
import type { GroupRank } from "./group-planner.js";
import {
  armingWave,
  pendingSwitch,
  wholeGroup,
  type AddressedOrder,
} from "./switch-orders.js";
import { EACH_GENERATION } from "./switch-run.js";
import type {
  AgentOrder,
  OfLife,
  OrderFence,
  RankPort,
  RankState,
} from "./types.js";

export interface HoldGuardOptions {
  readonly port: RankPort;
  readonly emit: Emit;
  /** All ranks of the group. Throws 1901 or 1607. */
  readonly group: () => Promise<readonly GroupRank[]>;
  readonly signal: AbortSignal;
  /** Whether the engines refuse orders with an old fencing number. */
  readonly isFencingChecked: boolean;
}

/** A hold that the planner is about to order, at one life of the runner. */
export interface WatchedHold extends OfLife {
  readonly step: number;
  readonly fence: OrderFence;
  /** The planner's own rank. */
  readonly planner: number;
}

/** A hold, and who has accepted the number that gives its step up. */
interface Watch {
  readonly hold: WatchedHold;
  readonly voided: FencedRanks;
}

interface Acceptance extends OfLife {
  readonly rank: number;
}

/**
 * From hold to release a planner takes about 20 ms; an order that got no answer
 * adds some 100 ms. Later than this it is taken for frozen, ms.
 */
const PATIENCE_MS = 150;
/** Between two looks, ms. */
const LOOK_INTERVAL_MS = 25;
/**
 * A rank whose agent takes longer to answer counts as out of reach for this
 * look, ms: an agent answers in under ten, and the group is waiting.
 */
const LOOK_TIMEOUT_MS = 80;
/** A group that can't be finished by then needs a planner, ms. */
const GIVE_UP_MS = 6000;

export class HoldGuard {
  private readonly watched = new Set<Watch>();

  private constructor(private readonly options: HoldGuardOptions) {}

  static create(options: HoldGuardOptions): HoldGuard {
    return new HoldGuard(options);
  }

  /**
   * The own rank is about to be told to hold the step. Each hold is watched by
   * itself: one of an earlier life or epoch, whose group is gone, must not keep
   * the next one from being watched.
   */
  watch(hold: WatchedHold): void {
    const watched = [...this.watched];
    if (watched.some((watch) => isSameHold(watch.hold, hold))) return;
    void this.run({ hold, voided: FencedRanks.create() });
  }

  private async run(watch: Watch): Promise<void> {
    this.watched.add(watch);
    await this.keepWatch(watch);
    this.watched.delete(watch);
  }

  private async keepWatch(watch: Watch): Promise<void> {
    const { signal, emit } = this.options;
    const { step } = watch.hold;
    const startedAtMs = performance.now();
    const elapsedMs = (): number => performance.now() - startedAtMs;
    await pause(PATIENCE_MS, signal);
    let isTold = false;
    while (!signal.aborted && elapsedMs() < GIVE_UP_MS) {
      if (!(await this.isHeld(watch.hold))) return;
      if (!isTold) emit(164, { step, heldMs: Math.round(elapsedMs()) });
      isTold = true;
      await this.act(watch);
      await pause(LOOK_INTERVAL_MS, signal);
    }
  }

  private async isHeld({
    step,
    fence,
    startedAtMs,
  }: WatchedHold): Promise<boolean> {
    try {
      const state = await this.options.port.observe();
      // The step of a later life or epoch may have the same number.
      const order = orderOfLives(startedAtMs, state.startedAtMs);
      const isGone = order === "later" || state.epoch !== fence.epoch;
      return !isGone && state.heldStep === step;
    } catch (error) {
      this.note(error);
      return true;
    }
  }

  private async act(watch: Watch): Promise<void> {
    try {
      const ranks = await this.options.group();
      const timeout = pause(LOOK_TIMEOUT_MS, this.options.signal);
      const looks = await Promise.all(
        ranks.map((rank) => this.stateOf(rank, timeout)),
      );
      // Of an earlier life by now: as good as out of reach for this look.
      const seen = looks.map((state, index) =>
        ranks[index].isOver(state?.startedAtMs) ? undefined : state,
      );
      const reached = seen.filter((state) => state !== undefined);
      const states = wholeGroup(reached);
      const isWhole = states !== undefined && reached.length === ranks.length;
      if (isWhole) await this.finish(ranks, seen, states, watch);
      else await this.backOut(ranks, seen, reached, watch);
    } catch (error) {
      this.note(error);
    }
  }

  private async finish(
    ranks: readonly GroupRank[],
    seen: readonly (RankState | undefined)[],
    states: readonly RankState[],
    { hold, voided }: Watch,
  ): Promise<void> {
    const { step, fence, planner } = hold;
    const pending = pendingSwitch(states);
    if (pending.kind !== "orders") return;
    const holder = states.find(({ heldStep }) => heldStep === step)?.rank;
    if (holder === undefined) return;
    const orders = armingWave(pending.orders, { planner, holder });
    // Ranks that were to give the step up refuse the planner's own number.
    const own = voided.isEmpty ? fence : raised(fence);
    await this.send(ranks, seen, orders, own);
  }

  private async backOut(
    ranks: readonly GroupRank[],
    seen: readonly (RankState | undefined)[],
    reached: readonly RankState[],
    { hold, voided }: Watch,
  ): Promise<void> {
    if (!this.options.isFencingChecked) return;
    const { step, fence, planner } = hold;
    const generation = Math.floor(fence.fencing / EACH_GENERATION);
    const unusedVersion = (generation + 1) * EACH_GENERATION - 1;
    const orders = backOutOrders({
      reached,
      planner,
      step,
      voided: voided.among(reached),
      unusedVersion,
    });
    const accepted = await this.send(ranks, seen, orders, raised(fence));
    for (const { rank, startedAtMs } of accepted) voided.add(rank, startedAtMs);
  }

  /** Resolves with the ranks, and their lives, that have taken their order. */
  private async send(
    ranks: readonly GroupRank[],
    seen: readonly (RankState | undefined)[],
    orders: readonly AddressedOrder<AgentOrder>[],
    fence: OrderFence,
  ): Promise<readonly Acceptance[]> {
    const accepted: Acceptance[] = [];
    await Promise.all(
      orders.map(async ({ rank, order }) => {
        const index = seen.findIndex((state) => state?.rank === rank);
        try {
          const result = await ranks[index].order(order, fence);
          const { kind, startedAtMs } = result;
          if (kind === "accepted") accepted.push({ rank, startedAtMs });
        } catch (error) {
          this.note(error);
        }
      }),
    );
    return accepted;
  }

  private async stateOf(
    rank: GroupRank,
    timeout: Promise<void>,
  ): Promise<RankState | undefined> {
    const request = { withCounts: false, withExperts: false };
    try {
      const seen = await Promise.race([rank.observe(request), timeout]);
      return seen?.state;
    } catch (error) {
      this.note(error);
      return undefined;
    }
  }

  private note(error: unknown): void {
    const { message } = toFailure(error, 1607);
    this.options.emit(223, { reason: message });
  }
}

function isSameHold(known: WatchedHold, hold: WatchedHold): boolean {
  return (
    known.step === hold.step &&
    known.planner === hold.planner &&
    known.startedAtMs === hold.startedAtMs &&
    known.fence.epoch === hold.fence.epoch &&
    known.fence.fencing === hold.fence.fencing
  );
}

/** Makes all orders under the fence void where it is accepted. */
function raised(fence: OrderFence): OrderFence {
  return { ...fence, fencing: fence.fencing + 1 };
}
