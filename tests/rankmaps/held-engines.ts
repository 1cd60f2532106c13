/**
 * Engines of one group that hold a step by order, as the platform states them:
 * an order may get no answer and be carried out later, after newer ones. An
 * engine may start again under its id; it then knows nothing of before, and
 * reports of its earlier life may still arrive.
 */
import type { LifeStart } from "../../src/membership/life.js";
import type { Random } from "../../src/internal.js";
import type {
  ArmedMap,
  OrderFence,
  RankOrder,
  RankState,
} from "../../src/rankmaps/types.js";

export interface History {
  readonly passes: number;
  readonly switches: number;
  readonly mixedPasses: number;
}

interface Engine {
  readonly startedAtMs: number;
  map: number;
  prepared: number | undefined;
  highestVersion: number;
  armed: ArmedMap | undefined;
  held: number | undefined;
  fencing: number;
}

interface Flying {
  readonly rank: number;
  readonly order: RankOrder;
  readonly fence: OrderFence;
  /** Deliveries that it is late by. */
  delay: number;
  /** Its answer was never seen. */
  readonly isLate: boolean;
}

/** An order that a rank has taken, and whose answer came back. */
export interface Acceptance {
  readonly rank: number;
  readonly fence: OrderFence;
  readonly startedAtMs: LifeStart;
}

const LATE_SHARE = 0.3;
const LOST_SHARE = 0.1;
const LONGEST_DELAY = 40;
/** Looks at a rank that show what an earlier life of it said. */
const PAST_SHARE = 0.1;
/** Lives of which what they said last may still arrive. */
const PAST_LIVES = 3;

export class HeldEngines {
  epoch = 1;
  private step = 0;
  private engines: Engine[];
  private flying: Flying[] = [];
  private isCalm = false;
  private isOpen = true;
  private startedAtMs = 1000;
  private readonly past: (readonly RankState[])[];
  private accepted: Acceptance[] = [];
  private readonly counted = { passes: 0, switches: 0, mixedPasses: 0 };

  private constructor(
    private readonly size: number,
    private readonly random: Random,
  ) {
    this.engines = this.fresh();
    this.past = this.engines.map(() => []);
  }

  static create(size: number, random: Random): HeldEngines {
    return new HeldEngines(size, random);
  }

  get history(): History {
    return { ...this.counted };
  }

  /** Asked one after the other: passes may begin in between. */
  states(): readonly RankState[] {
    const states: RankState[] = [];
    for (let rank = 0; rank < this.size; rank += 1) {
      states.push(this.reportOf(rank));
      if (!this.isCalm && this.random() < 0.05) this.pass();
    }
    return states;
  }

  /** What is shown to a look, at times what an earlier life said last. */
  private reportOf(rank: number): RankState {
    const past = this.past[rank];
    const isLate = past.length > 0 && !this.isCalm;
    if (!isLate || this.random() >= PAST_SHARE) return this.stateOf(rank);
    return past[Math.floor(this.random() * past.length)];
  }

  /** What the engine is in now. */
  stateOf(rank: number): RankState {
    const engine = this.engines[rank];
    return {
      group: "g",
      epoch: this.epoch,
      rank,
      size: this.size,
      isOpen: this.isOpen,
      step: this.step,
      mapVersion: engine.map,
      preparedVersion: engine.prepared,
      armed: engine.armed,
      heldStep: engine.held,
      slowness: 1,
      startedAtMs: engine.startedAtMs,
    };
  }

  /** From here on every order is carried out at once. */
  calm(): void {
    this.isCalm = true;
  }

  send(rank: number, order: RankOrder, fence: OrderFence): void {
    const draw = this.random();
    if (!this.isCalm && draw < LOST_SHARE) return;
    const isLate = !this.isCalm && draw < LOST_SHARE + LATE_SHARE;
    const delay = isLate ? 1 + Math.floor(this.random() * LONGEST_DELAY) : 0;
    this.flying.push({ rank, order, fence, delay, isLate });
  }

  /** Carries out what is due, and gives the answers that come back. */
  deliver(): readonly Acceptance[] {
    this.accepted = [];
    const due = this.flying.filter(({ delay }) => delay <= 0);
    this.flying = this.flying.filter(({ delay }) => delay > 0);
    for (const flying of this.flying) flying.delay -= 1;
    for (const { rank, order, fence, isLate } of due) {
      const before = this.accepted.length;
      this.carryOut(rank, order, fence);
      if (isLate) this.accepted.length = before;
    }
    return this.accepted;
  }

  /** Begins the next pass, unless a rank holds it. */
  pass(): void {
    if (!this.isOpen) return;
    const next = this.step + 1;
    if (this.engines.some(({ held }) => held === next)) return;
    this.step = next;
    let switched = 0;
    for (const engine of this.engines) {
      if (engine.armed?.step !== next) continue;
      engine.map = engine.armed.version;
      engine.armed = undefined;
      engine.prepared = undefined;
      switched += 1;
    }
    const maps = new Set(this.engines.map(({ map }) => map));
    this.counted.passes += 1;
    if (switched > 0) this.counted.switches += 1;
    if (maps.size > 1) this.counted.mixedPasses += 1;
  }

  /** All ranks are gone and back: the group is formed anew. */
  crash(): void {
    this.epoch += 1;
    this.isOpen = true;
    this.engines = this.fresh();
  }

  /** A rank starts again: the group breaks, and makes no passes. */
  restart(rank: number): void {
    this.isOpen = false;
    this.startAgain(rank);
  }

  /**
   * A rank starts again, and shows it before the platform has noticed: the
   * group is still open, in its old epoch. Only while that alone does no harm:
   * all ranks are on the first map, and another one holds the step that ranks
   * are or may yet be armed for, whose release isn't under way. Otherwise only
   * the new epoch keeps a late arm from the rank that has forgotten its fence.
   * False where it would do harm.
   */
  restartUnnoticed(rank: number): boolean {
    const others = this.engines.filter((_, index) => index !== rank);
    const held = others.find((engine) => engine.held !== undefined)?.held;
    const isHarmless =
      this.isOpen &&
      held !== undefined &&
      this.engines.every(({ map }) => map === 0) &&
      this.engines.every(({ armed }) => (armed?.step ?? held) === held) &&
      this.flying.every(({ order }) => isHarmlessBelow(order, held));
    if (isHarmless) this.startAgain(rank);
    return isHarmless;
  }

  /** The broken group is formed anew; who went on keeps its numbers. */
  form(): void {
    if (this.isOpen) return;
    this.isOpen = true;
    this.epoch += 1;
    for (const engine of this.engines) {
      engine.map = 0;
      engine.prepared = undefined;
      engine.armed = undefined;
      engine.held = undefined;
    }
  }

  /** A rank starts again; the platform hasn't noticed. */
  startAgain(rank: number): void {
    const said = [this.stateOf(rank), ...this.past[rank]];
    this.past[rank] = said.slice(0, PAST_LIVES);
    this.engines[rank] = this.start();
  }

  private fresh(): Engine[] {
    return Array.from({ length: this.size }, () => this.start());
  }

  private start(): Engine {
    this.startedAtMs += 1000;
    return {
      startedAtMs: this.startedAtMs,
      map: 0,
      prepared: undefined,
      highestVersion: 0,
      armed: undefined,
      held: undefined,
      fencing: 0,
    };
  }

  private carryOut(rank: number, order: RankOrder, fence: OrderFence): void {
    const engine = this.engines[rank];
    if (fence.epoch !== this.epoch || fence.fencing < engine.fencing) return;
    if (!this.apply(engine, order)) return;
    // An order that doesn't fit the engine's state leaves no trace.
    engine.fencing = fence.fencing;
    this.accepted.push({ rank, fence, startedAtMs: engine.startedAtMs });
  }

  /** False when the order doesn't fit the engine's state. */
  private apply(engine: Engine, order: RankOrder): boolean {
    switch (order.kind) {
      case "prepare":
        if (order.version <= engine.highestVersion) return false;
        if (engine.armed !== undefined) return false;
        engine.highestVersion = order.version;
        engine.prepared = order.version;
        return true;
      case "arm":
        if (engine.prepared !== order.version) return false;
        if (order.step <= this.step) return false;
        engine.armed = { version: order.version, step: order.step };
        return true;
      case "disarm":
        if (engine.map === order.version) return false;
        if (engine.armed?.version === order.version) engine.armed = undefined;
        return true;
      case "hold":
        if (order.step <= this.step) return false;
        if (engine.held !== undefined && engine.held !== order.step) {
          return false;
        }
        engine.held = order.step;
        return true;
      case "release":
        if (engine.held === order.step) engine.held = undefined;
        return true;
    }
  }
}

/** Whether it lets no step begin, nor arms for another one than the held. */
function isHarmlessBelow(order: RankOrder, held: number): boolean {
  if (order.kind === "arm") return order.step === held;
  return order.kind !== "release";
}
