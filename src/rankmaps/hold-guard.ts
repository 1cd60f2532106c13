/**
 * Watches over a step that this agent's rank holds for the planner. A planner
 * that dies or freezes between hold and release, or that can't go on because
 * another rank fell silent, would keep the whole group waiting until another
 * one has the seat, seconds later; callers give their streams up by then. The
 * holder's agent ends the step in its place, as any planner would.
 */
import { pause } from "../daemon/background-task.js";
import { toFailure, type Emit } from "../internal.js";
import { orderOfLives } from "../membership/life.js";
import { endHeldStep } from "./held-step.js";
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
  /** What the own rank was told to prepare. */
  readonly maps: RelayedMaps;
  readonly signal: AbortSignal;
}

/** A rank, and what it showed; undefined while it can't be reached. */
interface Look {
  readonly rank: Pick<GroupRank, "order">;
  readonly state: RankState | undefined;
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
 * look, ms: an agent answers in under ten, and the group is waiting. The next
 * look doesn't wait for it: giving a step up takes five.
 */
const LOOK_TIMEOUT_MS = 80;
/** A group that can't be finished by then needs a planner, ms. */
const GIVE_UP_MS = 6000;

export class HoldGuard {
  private readonly watched = new Set<WatchedHold>();

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
    if (watched.some((known) => isSameHold(known, hold))) return;
    void this.run(hold);
  }

  private async run(hold: WatchedHold): Promise<void> {
    this.watched.add(hold);
    await this.keepWatch(hold);
    this.watched.delete(hold);
  }

  private async keepWatch(hold: WatchedHold): Promise<void> {
    const { signal, emit } = this.options;
    const { step } = hold;
    const startedAtMs = performance.now();
    const elapsedMs = (): number => performance.now() - startedAtMs;
    await pause(PATIENCE_MS, signal);
    const silent = new Set<string>();
    let isTold = false;
    while (!signal.aborted && elapsedMs() < GIVE_UP_MS) {
      try {
        const own = await this.options.port.observe();
        if (!isHeldBy(own, hold)) return;
        if (!isTold) emit(164, { step, heldMs: Math.round(elapsedMs()) });
        isTold = true;
        await this.end(own, hold, silent);
      } catch (error) {
        this.note(error);
      }
      await pause(LOOK_INTERVAL_MS, signal);
    }
  }

  /** `silent`: addresses that gave no answer to the last look. */
  private async end(
    own: RankState,
    { fence }: WatchedHold,
    silent: Set<string>,
  ): Promise<void> {
    const { maps, port } = this.options;
    const spareMap = maps.spareMap(own.mapVersion);
    // This agent was started after the map was prepared: a planner's turn.
    if (spareMap === undefined) return;
    // Without a look at others, who may be out of reach: nobody is armed.
    const looks = isArmedHolder(own)
      ? await this.look(own, silent)
      : [{ rank: port, state: own }];
    const reached = looks.flatMap(({ state }) => state ?? []);
    const holder = reached.find(({ rank }) => rank === own.rank);
    if (holder === undefined || holder.heldStep !== own.heldStep) return;
    const { highestVersion } = maps;
    const inputs = { reached, holder, spareMap, highestVersion };
    await this.send(looks, endHeldStep(inputs), fence);
  }

  /** What can be reached of the own group in its present epoch. */
  private async look(
    own: RankState,
    silent: Set<string>,
  ): Promise<readonly Look[]> {
    const ranks = await this.options.group();
    const seen = new Map<GroupRank, RankState>();
    const asked = ranks.map(async (rank) => {
      const state = await this.stateOf(rank);
      if (state !== undefined) seen.set(rank, state);
    });
    const isAwaited = ({ address }: GroupRank): boolean => !silent.has(address);
    const awaited = asked.filter((_, index) => isAwaited(ranks[index]));
    const timeout = pause(LOOK_TIMEOUT_MS, this.options.signal);
    await Promise.race([Promise.all(awaited), timeout]);
    for (const rank of ranks) {
      if (seen.has(rank)) silent.delete(rank.address);
      else silent.add(rank.address);
    }
    return ranks.map((rank) => {
      const state = seen.get(rank);
      // Of an earlier life by now: as good as out of reach for this look.
      const isOver = rank.isOver(state?.startedAtMs);
      const isPresent = state !== undefined && isSameGroup(state, own);
      return { rank, state: isPresent && !isOver ? state : undefined };
    });
  }

  private async send(
    looks: readonly Look[],
    orders: readonly AddressedOrder<AgentOrder>[],
    fence: OrderFence,
  ): Promise<void> {
    await Promise.all(
      orders.map(async ({ rank, order }) => {
        const to = looks.find(({ state }) => state?.rank === rank)?.rank;
        try {
          await to?.order(order, fence);
        } catch (error) {
          this.note(error);
        }
      }),
    );
  }

  private async stateOf(rank: GroupRank): Promise<RankState | undefined> {
    const request = { withCounts: false, withExperts: false };
    try {
      const seen = await rank.observe(request);
      return seen.state;
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

/** The step of a later life or epoch may have the same number. */
function isHeldBy(
  own: RankState,
  { step, fence, startedAtMs }: WatchedHold,
): boolean {
  const order = orderOfLives(startedAtMs, own.startedAtMs);
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
