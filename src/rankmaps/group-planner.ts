/**
 * Plans the expert map of one group while it holds the seat: observes all
 * ranks, follows demand, and takes each better map through its switch.
 */
import { raise, toFailure, type Emit, type Measurements } from "../internal.js";
import { orderOfLives, type LifeStart } from "../membership/life.js";
import type { PaceNote } from "../membership/slow-runners.js";
import type { EngineFigures } from "../routing/types.js";
import { ExpertDemand } from "./demand.js";
import { MapPlanner, type MapLimits, type MapPlan } from "./map-planner.js";
import type { PaceReporter } from "./pace-reporter.js";
import type { PlannerSeat } from "./planner-seat.js";
import {
  afterOrders,
  isInForce,
  wholeGroup,
  type AddressedOrder,
} from "./switch-orders.js";
import type { SwitchRun, SwitchRuns } from "./switch-run.js";
import type {
  GroupRank,
  MapGoal,
  MapSets,
  Observation,
  OfLife,
  OrderFence,
  OrderResult,
  RankOrder,
  RankState,
} from "./types.js";

export interface GroupPlannerOptions {
  readonly seat: Pick<PlannerSeat, "generation" | "giveUp">;
  /** Those of the process: they outlast this planner. */
  readonly runs: SwitchRuns;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly pace: Pick<PaceReporter, "look">;
  readonly engine: EngineFigures;
  /**
   * The group whose seat it is. A runner may start again in another group, and
   * fencing numbers of two groups' seats can't be compared.
   */
  readonly group: string;
  /** The ranks below are numbered for this epoch; the next may number anew. */
  readonly epoch: number;
  /**
   * Rank that holds steps. Not the planner's own: when this process freezes,
   * the holder's agent ends what was begun.
   */
  readonly holder: number;
}

/** What is known of the group while no rank of it starts anew. */
interface GroupView {
  /** By rank. */
  readonly lives: readonly LifeStart[];
  readonly planner: MapPlanner;
  readonly demand: ExpertDemand;
  map: MapSets;
  mapVersion: number;
}

interface Goal extends MapGoal {
  readonly plan: MapPlan;
  readonly startedAtMs: number;
}

/**
 * Time that copying for one map may take, ms. Shorter, and more of the time
 * goes into switching; longer, and demand has turned before the map is in.
 */
const COPY_BUDGET_MS = 450;

/** Between two observations with counts, ms. */
export const COUNT_INTERVAL_MS = 250;
/** Between two looks at ranks that copy or wait for a step, ms. */
export const SWITCH_INTERVAL_MS = 60;
/** Between two looks while the ranks are being armed, ms. */
const URGENT_INTERVAL_MS = 5;
/** Hold, three waves of arms, and release, with as many for ranks that lag. */
const MOST_ROUNDS = 10;

export class GroupPlanner {
  private view: GroupView | undefined;
  private goal: Goal | undefined;
  private run: SwitchRun | undefined;
  private countedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: GroupPlannerOptions) {}

  static create(options: GroupPlannerOptions): GroupPlanner {
    return new GroupPlanner(options);
  }

  get group(): string {
    return this.options.group;
  }

  get epoch(): number {
    return this.options.epoch;
  }

  /**
   * One look at the group and what follows from it. Resolves with the time to
   * the next one, ms. Throws 1607 when a rank can't be reached, 1606 when they
   * don't make up the planner's group in its epoch.
   */
  async step(ranks: readonly GroupRank[]): Promise<number> {
    const run = this.currentRun();
    if (run === undefined) return COUNT_INTERVAL_MS;
    const nowMs = performance.now();
    const withCounts = nowMs - this.countedAtMs >= COUNT_INTERVAL_MS;
    const withExperts = this.view === undefined;
    const seen = await Promise.all(
      ranks.map((rank) => rank.observe({ withCounts, withExperts })),
    );
    const states = wholeGroup(seen.map(({ state }) => state));
    if (states === undefined || !this.isOwnGroup(states)) {
      this.forget();
      return raise(1606, { ranks: seen.length });
    }
    this.options.pace.look(paceOf(ranks, seen));
    this.takeIn(seen, states, withCounts, nowMs);
    if (run.isIdle(states)) this.goal ??= this.makeGoal(run, states);
    return this.carryOut(ranks, states, run);
  }

  /**
   * Goes on at once while ranks confirm what was ordered: between the hold and
   * the release the group depends on this process being alive.
   */
  private async carryOut(
    ranks: readonly GroupRank[],
    seen: readonly RankState[],
    run: SwitchRun,
  ): Promise<number> {
    let states = seen;
    for (let round = 0; round < MOST_ROUNDS; round += 1) {
      // What an earlier life had prepared, armed or held is gone with it.
      if (isOutdated(ranks, states)) return URGENT_INTERVAL_MS;
      const spareMap = this.view?.map ?? this.goal?.sets;
      const orders = run.nextOrders(states, this.goal, spareMap);
      if (orders.length === 0) return this.calmInterval();
      const done = await this.send(ranks, states, orders, run);
      const isPreparing = orders.some(({ order }) => order.kind === "prepare");
      if (isPreparing) return SWITCH_INTERVAL_MS;
      if (!done) return URGENT_INTERVAL_MS;
      const isHold = orders.some(({ order }) => order.kind === "hold");
      const next = isHold
        ? await this.lookAgain(ranks)
        : afterOrders(states, orders);
      if (next === undefined) return URGENT_INTERVAL_MS;
      states = next;
    }
    return URGENT_INTERVAL_MS;
  }

  /**
   * Looks at all ranks once more before the first is armed. From then on a rank
   * that falls silent keeps the whole group at the held step until it answers
   * again; up to here the holder's agent can give the step up. Throws 1607 when
   * a rank is silent.
   */
  private async lookAgain(
    ranks: readonly GroupRank[],
  ): Promise<readonly RankState[]> {
    const request = { withCounts: false, withExperts: false };
    const seen = await Promise.all(ranks.map((rank) => rank.observe(request)));
    const states = wholeGroup(seen.map(({ state }) => state));
    return states ?? raise(1606, { ranks: seen.length });
  }

  private calmInterval(): number {
    return this.goal === undefined ? COUNT_INTERVAL_MS : SWITCH_INTERVAL_MS;
  }

  /** One run for each generation of the seat. */
  private currentRun(): SwitchRun | undefined {
    const generation = this.options.seat.generation;
    if (generation === undefined) return undefined;
    const run = this.options.runs.of(generation);
    if (this.run !== run) this.goal = undefined;
    this.run = run;
    return run;
  }

  private isOwnGroup(states: readonly RankState[]): boolean {
    const { group, epoch } = this.options;
    return states[0].group === group && states[0].epoch === epoch;
  }

  private forget(): void {
    this.view = undefined;
    this.goal = undefined;
  }

  private takeIn(
    seen: readonly Observation[],
    states: readonly RankState[],
    withCounts: boolean,
    nowMs: number,
  ): void {
    const { mapVersion } = states[0];
    if (this.view !== undefined && !isOfLives(states, this.view)) this.forget();
    const isStale = this.view?.mapVersion !== mapVersion;
    if (this.view === undefined || isStale) this.learnMap(seen, states);
    if (!withCounts) return;
    const elapsedMs = Math.min(nowMs - this.countedAtMs, 60_000);
    this.countedAtMs = nowMs;
    this.view?.demand.add(
      seen.map(({ counts }) => counts),
      elapsedMs,
    );
  }

  /** The map of the goal once it is in force, else what the ranks hold. */
  private learnMap(
    seen: readonly Observation[],
    states: readonly RankState[],
  ): void {
    const { mapVersion, size } = states[0];
    if (!isInForce(states, mapVersion)) return;
    if (this.view !== undefined && this.goal?.version === mapVersion) {
      this.view.map = this.goal.plan.sets;
      this.view.mapVersion = mapVersion;
      this.finishGoal(this.goal);
      return;
    }
    this.view = undefined;
    if (seen.some(({ experts }) => experts.length === 0)) return;
    const { engine } = this.options;
    const byRank = seen.toSorted((a, b) => a.state.rank - b.state.rank);
    const map = Array.from({ length: engine.expertSets }, (_, set) =>
      byRank.map(({ experts }) => experts[set] ?? []),
    );
    const shape = {
      ranks: size,
      layers: engine.expertSets,
      experts: engine.experts,
      slotsPerRank: engine.slotsPerRank,
    };
    this.view = {
      lives: byRank.map(({ state }) => state.startedAtMs),
      map,
      mapVersion,
      planner: MapPlanner.create(shape, limitsOf(engine)),
      demand: ExpertDemand.create(engine.expertSets * engine.experts),
    };
  }

  private finishGoal(goal: Goal): void {
    this.goal = undefined;
    const { version, plan, startedAtMs } = goal;
    const { emit, measurements } = this.options;
    const durationMs = Math.round(performance.now() - startedAtMs);
    measurements.observe("mapSwitchDuration", durationMs / 1000);
    measurements.set("mapVersion", version);
    measurements.set("groupSkew", plan.skewAfter);
    emit(221, { map: version, copies: plan.copies, durationMs });
  }

  private makeGoal(
    run: SwitchRun,
    states: readonly RankState[],
  ): Goal | undefined {
    const { view } = this;
    if (view?.demand.isTelling !== true) return undefined;
    const plan = view.planner.plan(
      view.map,
      view.demand.tokens,
      speedsOf(states),
    );
    if (plan === undefined) return undefined;
    if (run.isExhausted) {
      this.options.seat.giveUp();
      return undefined;
    }
    const version = run.takeVersion();
    const { copies, skewBefore, skewAfter, sets } = plan;
    const tokens = Math.round(view.demand.total);
    const skews = { skewBefore, skewAfter };
    this.options.emit(220, { map: version, copies, tokens, ...skews });
    const { holder } = this.options;
    return { version, sets, holder, plan, startedAtMs: performance.now() };
  }

  /** True when every rank confirms that it is as ordered. */
  private async send(
    ranks: readonly GroupRank[],
    states: readonly RankState[],
    orders: readonly AddressedOrder[],
    run: SwitchRun,
  ): Promise<boolean> {
    const { epoch } = states[0];
    const fence = { epoch, fencing: run.fencing };
    const confirmed = await Promise.all(
      orders.map(async ({ rank, order }) => {
        const index = states.findIndex((state) => state.rank === rank);
        const { startedAtMs } = states[index];
        const addressed = { order, startedAtMs };
        const result = await this.sendOne(ranks[index], addressed, fence);
        return result?.kind === "accepted" && result.isDone;
      }),
    );
    return confirmed.every((isDone) => isDone);
  }

  /** An order without an answer is sent again after the next look. */
  private async sendOne(
    rank: GroupRank,
    { order, startedAtMs }: OfLife & { readonly order: RankOrder },
    fence: OrderFence,
  ): Promise<OrderResult | undefined> {
    const { emit, seat } = this.options;
    try {
      const result =
        order.kind === "hold"
          ? await rank.hold({ step: order.step, fence, startedAtMs })
          : await rank.order(order, fence);
      if (result.kind === "fenced") {
        emit(171, { fencing: fence.fencing, highest: null, error: 1701 });
        seat.giveUp();
      }
      if (result.kind === "refused") this.onRefused(order, result.status);
      return result;
    } catch (error) {
      const { message } = toFailure(error, 1607);
      emit(222, { order: order.kind, reason: message });
      return undefined;
    }
  }

  /** The rank has had a higher version, or can't take the map: a new one. */
  private onRefused(order: RankOrder, status: number): void {
    this.options.emit(222, { order: order.kind, reason: String(status) });
    if (order.kind === "prepare") this.goal = undefined;
  }
}

function isOfLives(
  states: readonly RankState[],
  { lives }: GroupView,
): boolean {
  return states.every(
    ({ rank, startedAtMs }) =>
      orderOfLives(lives[rank], startedAtMs) === "same",
  );
}

function isOutdated(
  ranks: readonly GroupRank[],
  states: readonly RankState[],
): boolean {
  return states.some(({ startedAtMs }, index) =>
    ranks[index].isOver(startedAtMs),
  );
}

function paceOf(
  ranks: readonly GroupRank[],
  seen: readonly Observation[],
): readonly PaceNote[] {
  return ranks.map(({ address }, index) => ({
    address,
    slowness: seen[index].state.slowness,
    startedAtMs: seen[index].state.startedAtMs,
  }));
}

function speedsOf(states: readonly RankState[]): Float64Array {
  const speeds = new Float64Array(states.length);
  for (const { rank, slowness } of states) speeds[rank] = 1 / slowness;
  return speeds;
}

function limitsOf(engine: EngineFigures): MapLimits {
  const { expertCopyMs, maximumNewExperts } = engine;
  const fitting = Math.floor(COPY_BUDGET_MS / Math.max(1, expertCopyMs));
  return {
    copiesEachRank: Math.max(1, fitting),
    copiesEachSet: Math.max(1, maximumNewExperts),
  };
}
