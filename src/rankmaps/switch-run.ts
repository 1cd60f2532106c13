/**
 * The switches of one holder of the planner's seat: which orders come next,
 * under which fencing number and versions. Keeps what can't be read back from
 * the ranks: which of them have accepted the present fencing number.
 */
import type { LifeStart } from "../membership/life.js";
import { FencedRanks } from "./fenced-ranks.js";
import {
  callOffOrders,
  goalOrders,
  pendingSwitch,
  type AddressedOrder,
  type PendingSwitch,
} from "./switch-orders.js";
import type { MapGoal, OrderFence, RankState } from "./types.js";

/** Versions, and fencing numbers, that one generation of the seat can use. */
export const EACH_GENERATION = 1_000_000;

/**
 * From one fencing number of a run to the next. The one in between is for the
 * guard of a held step, which gives the step up under the number after the
 * hold's: a call-off under the same number wouldn't make void what it ordered.
 */
const EACH_VOIDING = 2;

export class SwitchRun {
  private versions = 0;
  /** How often the run has left a fencing number behind. */
  private voidings = 0;
  private isCallingOff = false;
  private readonly voided = FencedRanks.create();
  private epoch = 0;

  private constructor(readonly generation: number) {}

  static create(generation: number): SwitchRun {
    return new SwitchRun(generation);
  }

  /** Higher than that of any earlier holder, and of own orders now void. */
  get fencing(): number {
    return this.generation * EACH_GENERATION + this.voidings * EACH_VOIDING;
  }

  /** A version that no rank has had. */
  takeVersion(): number {
    this.versions += 1;
    return this.generation * EACH_GENERATION + this.versions;
  }

  /** Whether a new map may be begun. */
  isIdle(states: readonly RankState[]): boolean {
    return !this.isCallingOff && pendingSwitch(states).kind === "none";
  }

  nextOrders(
    states: readonly RankState[],
    goal: MapGoal | undefined,
  ): readonly AddressedOrder[] {
    this.noteEpoch(states);
    const pending = pendingSwitch(states);
    if (this.isCallingOff) {
      const orders = isArmedWhole(pending) ? [] : this.callOff(states);
      if (orders.length > 0) return orders;
      this.endCallOff();
    }
    switch (pending.kind) {
      case "none":
        return goal === undefined ? [] : goalOrders(states, goal);
      case "coming":
        return [];
      case "orders":
        return this.finish(states, pending.orders);
      case "call-off":
        this.beginCallOff();
        return this.callOff(states);
    }
  }

  /**
   * A life of the rank took an order: what has a lower fencing number is void
   * there for as long as this life lasts.
   */
  onAccepted(
    rank: number,
    { epoch, fencing }: OrderFence,
    startedAtMs: LifeStart,
  ): void {
    const isPresent = epoch === this.epoch && fencing === this.fencing;
    if (isPresent) this.voided.add(rank, startedAtMs);
  }

  /** Ranks of a new epoch take no orders of an older one. */
  private noteEpoch(states: readonly RankState[]): void {
    const epoch = states.at(0)?.epoch ?? 0;
    if (epoch === this.epoch) return;
    this.epoch = epoch;
    this.isCallingOff = false;
    this.voided.clear();
  }

  /**
   * An earlier planner may still call the switch off, or let the step go, and
   * doesn't make void what has a higher number than its own. So before any rank
   * is armed, the one that holds the step takes an order with the present
   * number: only there the step can be let go, and an arm of this planner, late,
   * would leave one rank armed for it. And before the step is let go, every rank
   * does: a late disarm of before would leave one rank unarmed. The order does
   * nothing else. In a switch of its own a run's orders are accepted by then.
   */
  private finish(
    states: readonly RankState[],
    orders: readonly AddressedOrder[],
  ): readonly AddressedOrder[] {
    const isArming = orders.some(({ order }) => order.kind === "arm");
    const needed = isArming ? holdersOf(states) : states;
    const voided = this.voided.among(needed);
    const left = needed.filter(({ rank }) => !voided.has(rank));
    return left.length === 0 ? orders : this.raiseAt(left);
  }

  private beginCallOff(): void {
    this.isCallingOff = true;
    this.voidings += 1;
    this.voided.clear();
  }

  /**
   * Orders of the call-off may still be carried out late: a disarm of a version
   * that is armed again, or the release of a step that is held again, which an
   * idle group hasn't begun. Either could let a step begin half armed. Under a
   * number of its own the next switch makes them void, rank by rank.
   */
  private endCallOff(): void {
    this.isCallingOff = false;
    this.voidings += 1;
    this.voided.clear();
  }

  /**
   * The rank that holds the step takes the number first: an earlier planner's
   * release, late, would let it begin while some ranks are disarmed and others
   * not.
   */
  private callOff(states: readonly RankState[]): readonly AddressedOrder[] {
    const voided = this.voided.among(states);
    const left = holdersOf(states).filter(({ rank }) => !voided.has(rank));
    if (left.length > 0) return this.raiseAt(left);
    return callOffOrders(states, voided, this.takeVersion());
  }

  /** Orders that do nothing but make void what has a lower number. */
  private raiseAt(states: readonly RankState[]): readonly AddressedOrder[] {
    const order = { kind: "disarm", version: this.takeVersion() } as const;
    return states.map(({ rank }) => ({ rank, order }));
  }
}

/**
 * All ranks are armed. What was to be called off was finished by somebody else,
 * or another switch has taken its place: to disarm ranks now, one after the
 * other, could let the step begin half armed.
 */
function isArmedWhole(pending: PendingSwitch): boolean {
  if (pending.kind === "coming") return true;
  if (pending.kind !== "orders") return false;
  return pending.orders.every(({ order }) => order.kind === "release");
}

function holdersOf(states: readonly RankState[]): readonly RankState[] {
  return states.filter(({ heldStep }) => heldStep !== undefined);
}

/**
 * The runs of one process, a single one for each generation of the seat. A
 * planner begins anew within a generation whenever a rank was out of reach. A
 * version that it used again could name two maps, one at the ranks that took
 * it before and one at the others, and a step would begin with both: ranks
 * don't compare maps. Where it wasn't taken again, one map after the other was
 * refused (6 and 9 in a row after two cuts of a rank, 0.8 and 1.3 s, 12 ranks,
 * measured at the planner). Numbers that only rise within a generation rule out
 * both.
 */
export class SwitchRuns {
  private latest: SwitchRun | undefined;

  static create(): SwitchRuns {
    return new SwitchRuns();
  }

  of(generation: number): SwitchRun {
    if (this.latest?.generation !== generation) {
      this.latest = SwitchRun.create(generation);
    }
    return this.latest;
  }
}
