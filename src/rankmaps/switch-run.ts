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
} from "./switch-orders.js";
import type { MapGoal, OrderFence, RankState } from "./types.js";

/** Versions, and fencing numbers, that one generation of the seat can use. */
export const EACH_GENERATION = 1_000_000;

export class SwitchRun {
  private versions = 0;
  private callOffs = 0;
  private isCallingOff = false;
  private readonly voided = FencedRanks.create();
  private epoch = 0;

  private constructor(readonly generation: number) {}

  static create(generation: number): SwitchRun {
    return new SwitchRun(generation);
  }

  /** Higher than that of any earlier holder, and of own orders now void. */
  get fencing(): number {
    return this.generation * EACH_GENERATION + this.callOffs;
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
    if (this.isCallingOff) {
      const orders = this.callOff(states);
      if (orders.length > 0) return orders;
      this.endCallOff();
    }
    const pending = pendingSwitch(states);
    switch (pending.kind) {
      case "none":
        return goal === undefined ? [] : goalOrders(states, goal);
      case "coming":
        return [];
      case "orders":
        return pending.orders;
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

  private beginCallOff(): void {
    this.isCallingOff = true;
    this.callOffs += 1;
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
    this.callOffs += 1;
    this.voided.clear();
  }

  private callOff(states: readonly RankState[]): readonly AddressedOrder[] {
    const voided = this.voided.among(states);
    return callOffOrders(states, voided, this.takeVersion());
  }
}

/**
 * The runs of one process, a single one for each generation of the seat. A
 * planner may begin anew within a generation, after a rank was out of reach. A
 * version that it used again could name two maps, one at the ranks that took
 * it before and one at the others, and a step would begin with both: ranks
 * don't compare maps. Numbers that only rise within a generation rule it out.
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
