/**
 * Plans the expert map of one group while this process holds the planner lease:
 * observes all ranks, tracks demand and drives the switch to each better map.
 */
import { raise, toFailure } from "../internal.js";
import type { IncarnationStart } from "../membership/incarnation.js";
import { CountRotation } from "./count-rotation.js";
import { ExpertDemand } from "./demand.js";
import type { GroupPlannerOptions } from "./group-planner-options.js";
import { limitsOf } from "./map-limits.js";
import { MapPlanner, type MapPlan } from "./map-planner.js";
import {
  hasRestartedRank,
  hasSameIncarnations,
  isConfirmed,
  paceNotesOf,
  speedsOf,
} from "./rank-observations.js";
import {
  applyOrders,
  isMapActive,
  completeGroup,
  type AddressedOrder,
} from "./switch-orders.js";
import { latestStep, type SwitchCoordinator } from "./switch-coordinator.js";
import { SwitchPace } from "./switch-pace.js";
import type {
  GroupRank,
  MapGoal,
  MapSets,
  Observation,
  IncarnationScoped,
  OrderFence,
  OrderResult,
  RankOrder,
  RankState,
} from "./types.js";

/** Knowledge about the group, valid until one of its ranks restarts. */
interface GroupSnapshot {
  /** Start time of each rank's incarnation, by rank. */
  readonly startTimes: readonly IncarnationStart[];
  readonly planner: MapPlanner;
  readonly demand: ExpertDemand;
  map: MapSets;
  mapVersion: number;
}

interface Goal extends MapGoal {
  readonly plan: MapPlan;
  readonly startedAtMs: number;
}

/** Interval between observations with counts, ms. */
export const COUNT_INTERVAL_MS = 250;
/**
 * Interval between observations while ranks copy weights or wait for a step,
 * ms.
 */
export const SWITCH_INTERVAL_MS = 60;
/**
 * Time without a new map after a rank has left a prepare order unanswered, ms.
 * A rank that leaves an arm order unanswered keeps the whole group at the held
 * step for several timeouts, and every stream of the group is late.
 */
export const UNANSWERED_PAUSE_MS = 2000;
/** Share of the time spent on plans while no map is worth a switch. */
const PLANNING_SHARE = 0.05;
/** Interval between observations while ranks are being armed, ms. */
const ARMING_INTERVAL_MS = 5;
/**
 * Covers the hold, three arming rounds and the release, and as many repeats for
 * ranks that lag.
 */
const MAXIMUM_ROUNDS_PER_STEP = 10;

export class GroupPlanner {
  private snapshot: GroupSnapshot | undefined;
  private goal: Goal | undefined;
  private coordinator: SwitchCoordinator | undefined;
  private countedAtMs = Number.NEGATIVE_INFINITY;
  /** No map is planned until then, monotonic, ms. */
  private pausedUntilMs = Number.NEGATIVE_INFINITY;

  private readonly rotation: CountRotation;
  private readonly switchPace = SwitchPace.create();

  private constructor(private readonly options: GroupPlannerOptions) {
    const { expertSets, experts } = options.engine;
    this.rotation = CountRotation.create(expertSets * experts);
  }

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
   * Observes the group once and sends the orders that follow. Resolves with the
   * time until the next step, ms. Throws 1607 when a rank can't be reached, and
   * 1606 when the ranks don't make up the planner's group in its epoch.
   */
  async step(ranks: readonly GroupRank[]): Promise<number> {
    const coordinator = this.currentCoordinator();
    if (coordinator === undefined) return COUNT_INTERVAL_MS;
    const nowMs = performance.now();
    const withCounts = nowMs - this.countedAtMs >= COUNT_INTERVAL_MS;
    const withExperts = this.snapshot === undefined;
    const counted = this.rotation.take(withCounts ? ranks.length : 0);
    const observations = await Promise.all(
      ranks.map((rank, index) =>
        rank.observe({ withCounts: counted.has(index), withExperts }),
      ),
    );
    const states = completeGroup(observations.map(({ state }) => state));
    const observedAtMs = performance.now();
    if (states === undefined || !this.isOwnGroup(states)) {
      this.reset();
      return raise(1606, { ranks: observations.length });
    }
    const durationMs = observedAtMs - nowMs;
    this.switchPace.onObserved(latestStep(states), durationMs, observedAtMs);
    this.options.pace.report(paceNotesOf(ranks, observations));
    this.options.onObserved?.(ranks, states);
    this.updateSnapshot(observations, states, withCounts, nowMs);
    if (coordinator.isIdle(states))
      this.goal ??= this.planGoal(coordinator, states);
    return this.advanceSwitch(ranks, states, coordinator);
  }

  /**
   * Continues without a delay while ranks confirm their orders: between the
   * hold and the release, the group depends on this process.
   */
  private async advanceSwitch(
    ranks: readonly GroupRank[],
    initialStates: readonly RankState[],
    coordinator: SwitchCoordinator,
  ): Promise<number> {
    let states = initialStates;
    for (let round = 0; round < MAXIMUM_ROUNDS_PER_STEP; round += 1) {
      // A restarted rank has lost what it had prepared, armed or held.
      if (hasRestartedRank(ranks, states)) return ARMING_INTERVAL_MS;
      const placeholderMap = this.snapshot?.map ?? this.goal?.sets;
      const { leadSteps } = this.switchPace;
      const orders = coordinator.nextOrders(
        states,
        this.goal,
        placeholderMap,
        leadSteps,
      );
      if (orders.length === 0) return this.waitingInterval();
      const results = await this.send(ranks, states, orders, coordinator);
      const isPreparing = orders.some(({ order }) => order.kind === "prepare");
      if (isPreparing) {
        if (results.includes(undefined)) this.dropGoal();
        return SWITCH_INTERVAL_MS;
      }
      if (!results.every(isConfirmed)) return ARMING_INTERVAL_MS;
      const isHold = orders.some(({ order }) => order.kind === "hold");
      const next = isHold
        ? await this.observeAgain(ranks)
        : applyOrders(states, orders);
      if (next === undefined) return ARMING_INTERVAL_MS;
      states = next;
    }
    return ARMING_INTERVAL_MS;
  }

  /**
   * Observes all ranks once more before the first one is armed. After that, a
   * rank that stops answering keeps the whole group at the held step until it
   * answers again; before that, the holder's agent can still cancel the switch.
   * Throws 1607 when a rank doesn't answer.
   */
  private async observeAgain(
    ranks: readonly GroupRank[],
  ): Promise<readonly RankState[]> {
    const request = { withCounts: false, withExperts: false };
    const observations = await Promise.all(
      ranks.map((rank) => rank.observe(request)),
    );
    const states = completeGroup(observations.map(({ state }) => state));
    return states ?? raise(1606, { ranks: observations.length });
  }

  /** The prepare orders of the next map show whether all ranks answer again. */
  private dropGoal(): void {
    this.goal = undefined;
    this.pausedUntilMs = performance.now() + UNANSWERED_PAUSE_MS;
  }

  private waitingInterval(): number {
    return this.goal === undefined ? COUNT_INTERVAL_MS : SWITCH_INTERVAL_MS;
  }

  /** There is one coordinator for each generation of the lease. */
  private currentCoordinator(): SwitchCoordinator | undefined {
    const generation = this.options.lease.generation;
    if (generation === undefined) return undefined;
    const coordinator = this.options.coordinators.forGeneration(generation);
    if (this.coordinator !== coordinator) this.goal = undefined;
    this.coordinator = coordinator;
    return coordinator;
  }

  private isOwnGroup(states: readonly RankState[]): boolean {
    const { group, epoch } = this.options;
    return states[0].group === group && states[0].epoch === epoch;
  }

  private reset(): void {
    this.snapshot = undefined;
    this.goal = undefined;
  }

  private updateSnapshot(
    observations: readonly Observation[],
    states: readonly RankState[],
    withCounts: boolean,
    nowMs: number,
  ): void {
    const { mapVersion } = states[0];
    if (
      this.snapshot !== undefined &&
      !hasSameIncarnations(states, this.snapshot.startTimes)
    )
      this.reset();
    const isStale = this.snapshot?.mapVersion !== mapVersion;
    if (this.snapshot === undefined || isStale)
      this.refreshMap(observations, states);
    if (!withCounts) return;
    const elapsedMs = Math.min(nowMs - this.countedAtMs, 60_000);
    this.countedAtMs = nowMs;
    this.snapshot?.demand.add(
      observations.map(({ counts }) => counts),
      elapsedMs,
    );
  }

  /**
   * Adopts the goal's map once it is active, otherwise the experts that the
   * ranks report.
   */
  private refreshMap(
    observations: readonly Observation[],
    states: readonly RankState[],
  ): void {
    const { mapVersion, size } = states[0];
    if (!isMapActive(states, mapVersion)) return;
    if (this.snapshot !== undefined && this.goal?.version === mapVersion) {
      this.snapshot.map = this.goal.plan.sets;
      this.snapshot.mapVersion = mapVersion;
      this.completeGoal(this.goal);
      return;
    }
    this.snapshot = undefined;
    if (observations.some(({ experts }) => experts.length === 0)) return;
    const { engine } = this.options;
    const byRank = observations.toSorted((a, b) => a.state.rank - b.state.rank);
    const map = Array.from({ length: engine.expertSets }, (_, set) =>
      byRank.map(({ experts }) => experts[set] ?? []),
    );
    const shape = {
      ranks: size,
      layers: engine.expertSets,
      experts: engine.experts,
      slotsPerRank: engine.slotsPerRank,
    };
    this.snapshot = {
      startTimes: byRank.map(({ state }) => state.startedAtMs),
      map,
      mapVersion,
      planner: MapPlanner.create(shape, limitsOf(engine)),
      demand: ExpertDemand.create(engine.expertSets * engine.experts),
    };
  }

  private completeGoal(goal: Goal): void {
    this.goal = undefined;
    const { version, plan, startedAtMs } = goal;
    const { emit, measurements } = this.options;
    const durationMs = Math.round(performance.now() - startedAtMs);
    measurements.observe("mapSwitchDuration", durationMs / 1000);
    measurements.set("mapVersion", version);
    measurements.set("groupSkew", plan.skewAfter);
    emit(221, { map: version, copies: plan.copies, durationMs });
  }

  private planGoal(
    coordinator: SwitchCoordinator,
    states: readonly RankState[],
  ): Goal | undefined {
    const { snapshot } = this;
    if (snapshot?.demand.hasEnoughCounts !== true) return undefined;
    if (performance.now() < this.pausedUntilMs) return undefined;
    const startedAtMs = performance.now();
    const plan = snapshot.planner.plan(
      snapshot.map,
      snapshot.demand.tokens,
      speedsOf(states),
    );
    const nowMs = performance.now();
    if (plan === undefined) {
      this.pausedUntilMs = nowMs + (nowMs - startedAtMs) / PLANNING_SHARE;
      return undefined;
    }
    if (coordinator.isExhausted) {
      this.options.lease.relinquish();
      return undefined;
    }
    const version = coordinator.allocateVersion();
    const { copies, skewBefore, skewAfter, sets } = plan;
    const tokens = Math.round(snapshot.demand.total);
    const skews = { skewBefore, skewAfter };
    this.options.emit(220, { map: version, copies, tokens, ...skews });
    const { holder } = this.options;
    return { version, sets, holder, plan, startedAtMs: nowMs };
  }

  /** Results of the orders; undefined where there was no response. */
  private async send(
    ranks: readonly GroupRank[],
    states: readonly RankState[],
    orders: readonly AddressedOrder[],
    coordinator: SwitchCoordinator,
  ): Promise<readonly (OrderResult | undefined)[]> {
    const { epoch } = states[0];
    const fence = { epoch, fencing: coordinator.fencing };
    return Promise.all(
      orders.map(({ rank, order }) => {
        const index = states.findIndex((state) => state.rank === rank);
        const { startedAtMs } = states[index];
        const addressed = { order, startedAtMs };
        return this.sendOrder(ranks[index], addressed, fence);
      }),
    );
  }

  /** An order without a response is sent again after the next observation. */
  private async sendOrder(
    rank: GroupRank,
    { order, startedAtMs }: IncarnationScoped & { readonly order: RankOrder },
    fence: OrderFence,
  ): Promise<OrderResult | undefined> {
    const { emit, lease } = this.options;
    try {
      const result =
        order.kind === "hold"
          ? await rank.hold({ step: order.step, fence, startedAtMs })
          : await rank.order(order, fence);
      if (result.kind === "fenced") {
        emit(171, { fencing: fence.fencing, highest: null, error: 1701 });
        lease.relinquish();
      }
      if (result.kind === "refused") this.onRefused(order, result.status);
      return result;
    } catch (error) {
      const { message } = toFailure(error, 1607);
      emit(222, { order: order.kind, reason: message });
      return undefined;
    }
  }

  /**
   * A refused prepare means that the rank has had a higher version or can't
   * load the map, so a new version is planned.
   */
  private onRefused(order: RankOrder, status: number): void {
    this.options.emit(222, { order: order.kind, reason: String(status) });
    if (order.kind === "prepare") this.goal = undefined;
  }
}
