/**
 * Simulates the engines of one group as a platform may implement them: an order
 * may get no response and be carried out later, after newer ones, and a report
 * may be outdated. Some engines reject old fencing tokens, others ignore them.
 * An engine may restart under its id; it then has no memory of earlier orders,
 * and reports of its earlier incarnation may still arrive.
 */
import type { IncarnationStart } from "../../src/membership/incarnation.js";
import type { Random } from "../../src/internal.js";
import type {
  ArmedMap,
  MapSets,
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
  mapVersion: number;
  /** Contents of the active map and of the prepared one. */
  sets: MapSets;
  preparedSets: MapSets;
  preparedVersion: number | undefined;
  highestVersion: number;
  armed: ArmedMap | undefined;
  heldStep: number | undefined;
  fencing: number;
}

interface InFlightOrder {
  readonly rank: number;
  readonly order: RankOrder;
  readonly fence: OrderFence;
  /** Number of deliveries until the order is carried out. */
  delay: number;
  /** The response never reaches the sender. */
  readonly isLate: boolean;
}

/** An order that a rank has accepted and whose response arrived. */
export interface Acceptance {
  readonly rank: number;
  readonly fence: OrderFence;
  readonly startedAtMs: IncarnationStart;
}

/** Share of orders that are carried out late. */
const DELAYED_SHARE = 0.3;
/** Share of orders that never reach the engine. */
const LOST_SHARE = 0.1;
const MAXIMUM_DELAY_DELIVERIES = 40;
/** Share of reads that return a report of an earlier incarnation. */
const EARLIER_INCARNATION_SHARE = 0.1;
/** Number of earlier incarnations whose last report may still arrive. */
const RETAINED_INCARNATIONS = 3;
/** Share of reads that return an outdated report. */
const STALE_SHARE = 0.05;
/** Number of changes that an outdated report may be behind. */
const RETAINED_REPORTS = 4;

export class SimulatedEngines {
  epoch = 1;
  private step = 0;
  private engines: Engine[];
  private inFlight: InFlightOrder[] = [];
  private areFaultsDisabled = false;
  private isOpen = true;
  /** A rank has restarted since the group was formed. */
  private isStalled = false;
  private startedAtMs = 1000;
  private readonly earlierReports: (readonly RankState[])[];
  /** Reports of the current incarnation and epoch, the newest last. */
  private recentReports: (readonly RankState[])[];
  private accepted: Acceptance[] = [];
  private readonly counters = { passes: 0, switches: 0, mixedPasses: 0 };

  private constructor(
    private readonly size: number,
    private readonly random: Random,
    private readonly isFencingChecked: boolean,
  ) {
    this.engines = this.createEngines();
    this.earlierReports = this.engines.map(() => []);
    this.recentReports = this.engines.map(() => []);
  }

  static create(
    size: number,
    random: Random,
    isFencingChecked = false,
  ): SimulatedEngines {
    return new SimulatedEngines(size, random, isFencingChecked);
  }

  get history(): History {
    return { ...this.counters };
  }

  /** The ranks are read one after the other; passes may begin in between. */
  states(): readonly RankState[] {
    const states: RankState[] = [];
    for (let rank = 0; rank < this.size; rank += 1) {
      states.push(this.reportOf(rank));
      if (!this.areFaultsDisabled && this.random() < 0.05) this.pass();
    }
    return states;
  }

  /** The report that a read returns, sometimes an outdated one. */
  private reportOf(rank: number): RankState {
    if (this.areFaultsDisabled) return this.stateOf(rank);
    const recent = this.recentReports[rank];
    if (recent.length > 0 && this.random() < STALE_SHARE)
      return this.pickReport(recent);
    const past = this.earlierReports[rank];
    if (past.length > 0 && this.random() < EARLIER_INCARNATION_SHARE)
      return this.pickReport(past);
    return this.stateOf(rank);
  }

  private pickReport(reports: readonly RankState[]): RankState {
    return reports[Math.floor(this.random() * reports.length)];
  }

  /** Call before the rank's state changes. */
  private retainReport(rank: number): void {
    const reports = [...this.recentReports[rank], this.stateOf(rank)];
    this.recentReports[rank] = reports.slice(-RETAINED_REPORTS);
  }

  private clearReports(): void {
    this.recentReports = this.engines.map(() => []);
  }

  /** The engine's current state. */
  stateOf(rank: number): RankState {
    const engine = this.engines[rank];
    return {
      group: "g",
      epoch: this.epoch,
      rank,
      size: this.size,
      isOpen: this.isOpen,
      step: this.step,
      mapVersion: engine.mapVersion,
      preparedVersion: engine.preparedVersion,
      armed: engine.armed,
      heldStep: engine.heldStep,
      slowness: 1,
      startedAtMs: engine.startedAtMs,
    };
  }

  /** Carries out every order at once from now on, without faults. */
  disableFaults(): void {
    this.areFaultsDisabled = true;
  }

  send(rank: number, order: RankOrder, fence: OrderFence): void {
    const draw = this.random();
    if (!this.areFaultsDisabled && draw < LOST_SHARE) return;
    const isLate = !this.areFaultsDisabled && draw < LOST_SHARE + DELAYED_SHARE;
    const delay = isLate
      ? 1 + Math.floor(this.random() * MAXIMUM_DELAY_DELIVERIES)
      : 0;
    this.inFlight.push({ rank, order, fence, delay, isLate });
  }

  /** Carries out the due orders and returns the responses that arrive. */
  deliver(): readonly Acceptance[] {
    this.accepted = [];
    const due = this.inFlight.filter(({ delay }) => delay <= 0);
    this.inFlight = this.inFlight.filter(({ delay }) => delay > 0);
    for (const order of this.inFlight) order.delay -= 1;
    for (const { rank, order, fence, isLate } of due) {
      const before = this.accepted.length;
      this.carryOut(rank, order, fence);
      if (isLate) this.accepted.length = before;
    }
    return this.accepted;
  }

  /** Begins the next pass, unless a rank holds it. */
  pass(): void {
    if (!this.isOpen || this.isStalled) return;
    const next = this.step + 1;
    if (this.engines.some(({ heldStep }) => heldStep === next)) return;
    let switched = 0;
    for (const [rank, engine] of this.engines.entries()) {
      this.retainReport(rank);
      if (engine.armed?.step !== next) continue;
      engine.mapVersion = engine.armed.version;
      engine.sets = engine.preparedSets;
      engine.armed = undefined;
      engine.preparedVersion = undefined;
      switched += 1;
    }
    this.step = next;
    const maps = new Set(
      this.engines.map(({ mapVersion, sets }) =>
        JSON.stringify([mapVersion, sets]),
      ),
    );
    this.counters.passes += 1;
    if (switched > 0) this.counters.switches += 1;
    if (maps.size > 1) this.counters.mixedPasses += 1;
  }

  /** Restarts all ranks and forms the group again. */
  crashAll(): void {
    this.epoch += 1;
    this.isOpen = true;
    this.isStalled = false;
    this.engines = this.createEngines();
    this.clearReports();
  }

  /** Restarts a rank; the group breaks and makes no passes. */
  restartAndBreakGroup(rank: number): void {
    this.isOpen = false;
    this.restartEngine(rank);
  }

  /**
   * Restarts a rank before the platform has noticed: the group still reports
   * that it is open, in its old epoch. It makes no steps without the
   * incarnation that it was formed with, until it is formed again.
   */
  restartUndetected(rank: number): void {
    this.isStalled = true;
    this.restartEngine(rank);
  }

  /**
   * Forms the broken group again; ranks that kept running keep their version
   * and fencing tokens.
   */
  reformGroup(): void {
    if (this.isOpen && !this.isStalled) return;
    this.isOpen = true;
    this.isStalled = false;
    this.epoch += 1;
    this.clearReports();
    for (const engine of this.engines) {
      engine.mapVersion = 0;
      engine.sets = [];
      engine.preparedVersion = undefined;
      engine.armed = undefined;
      engine.heldStep = undefined;
    }
  }

  /** Restarts a rank's engine; the platform hasn't noticed. */
  restartEngine(rank: number): void {
    const reports = [this.stateOf(rank), ...this.earlierReports[rank]];
    this.earlierReports[rank] = reports.slice(0, RETAINED_INCARNATIONS);
    this.recentReports[rank] = [];
    this.engines[rank] = this.createEngine();
  }

  private createEngines(): Engine[] {
    return Array.from({ length: this.size }, () => this.createEngine());
  }

  private createEngine(): Engine {
    this.startedAtMs += 1000;
    return {
      startedAtMs: this.startedAtMs,
      mapVersion: 0,
      sets: [],
      preparedSets: [],
      preparedVersion: undefined,
      highestVersion: 0,
      armed: undefined,
      heldStep: undefined,
      fencing: 0,
    };
  }

  private carryOut(rank: number, order: RankOrder, fence: OrderFence): void {
    const engine = this.engines[rank];
    if (fence.epoch !== this.epoch) return;
    if (this.isFencingChecked && fence.fencing < engine.fencing) return;
    this.retainReport(rank);
    if (!this.apply(engine, order)) return;
    // A rejected order doesn't change the fencing token.
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
        engine.preparedVersion = order.version;
        engine.preparedSets = order.sets;
        return true;
      case "arm":
        if (engine.preparedVersion !== order.version) return false;
        if (order.step <= this.step) return false;
        engine.armed = { version: order.version, step: order.step };
        return true;
      case "disarm":
        if (engine.mapVersion === order.version) return false;
        if (engine.armed?.version === order.version) engine.armed = undefined;
        return true;
      case "hold":
        if (order.step <= this.step) return false;
        if (engine.heldStep !== undefined && engine.heldStep !== order.step) {
          return false;
        }
        engine.heldStep = order.step;
        return true;
      case "release":
        if (engine.heldStep === order.step) engine.heldStep = undefined;
        return true;
    }
  }
}
