/**
 * The balancer of one group: takes in rank reports window by window, keeps the
 * forecast and the ranks' speeds, and decides for each window whether the
 * expert map changes. No input or output; the caller has the map switched.
 */
import type { Emit } from "../internal.js";
import { LoadForecast } from "./load-forecast.js";
import { DEFAULT_LIMITS, Planner, type PlannerLimits } from "./planner.js";
import { collectTokens, RankSpeeds } from "./rank-reports.js";
import type {
  ExpertMap,
  GroupShape,
  MoveCosts,
  Plan,
  PlanForecast,
  RankReport,
  RankState,
  StayReason,
} from "./types.js";

/**
 * Windows between the reports and the middle of the time in which the new map
 * is hoped to serve: reports one window late, transfer and switch up to three,
 * and the first windows after it.
 */
const LEAD_WINDOWS = 8;
/** Windows of reports before the first decision: noise needs an estimate. */
const LEAST_WINDOWS = 5;
const REQUEST_SMOOTHING = 0.3;
/** Worth a look at the machine, as no map makes up for much more. */
const SLOW_RANK_SPEED = 0.85;

export interface Decision {
  readonly map: ExpertMap;
  /** The map last decided on isn't in force in all ranks yet. */
  readonly switchPending: boolean;
  readonly costs: MoveCosts;
  readonly skewWeight: number;
}

const NOTHING_PREDICTED: PlanForecast = {
  skewBefore: 1,
  skewAfter: 1,
  bytes: 0,
  transferSeconds: 0,
  savedSeconds: 0,
};

export class Balancer {
  private readonly forecast: LoadForecast;
  private readonly rankSpeeds: RankSpeeds;
  private readonly planner: Planner;
  private readonly requestTokens: Float64Array;
  private slowRanks: ReadonlySet<number> = new Set();

  private constructor(
    private readonly shape: GroupShape,
    limits: PlannerLimits,
    private readonly emit: Emit,
  ) {
    this.forecast = LoadForecast.create(shape);
    this.rankSpeeds = RankSpeeds.create(shape);
    this.planner = Planner.create(shape, limits);
    this.requestTokens = new Float64Array(shape.ranks);
  }

  static create(
    shape: GroupShape,
    emit: Emit,
    limits: PlannerLimits = DEFAULT_LIMITS,
  ): Balancer {
    return new Balancer(shape, limits, emit);
  }

  /** Speeds and request work of the ranks, as far as reports told. */
  get ranks(): RankState {
    return {
      speeds: this.rankSpeeds.current(),
      requestTokens: this.requestTokens,
    };
  }

  /** Takes in the reports of one window, counted under the given map. */
  observe(map: ExpertMap, reports: readonly RankReport[]): void {
    // Tokens counted under another map would go to the wrong experts.
    const usable = reports.filter(
      ({ mapVersion }) => mapVersion === map.version,
    );
    if (usable.length < this.shape.ranks) {
      const missing = this.shape.ranks - usable.length;
      this.emit(184, { map: map.version, missing });
    }
    if (usable.length === 0) return;
    this.forecast.observe(collectTokens(map, usable));
    this.rankSpeeds.observe(usable);
    this.observeRequests(usable);
    this.reportSlowRanks();
  }

  /** Moves experts or stays, and tells an operator why. */
  decide(decision: Decision): Plan {
    const plan = this.planFor(decision);
    if (plan.kind === "move") this.reportMove(plan, decision);
    else this.reportStay(plan.reason, plan.predicted, decision);
    return plan;
  }

  private planFor(decision: Decision): Plan {
    if (this.forecast.observedWindows < LEAST_WINDOWS) {
      return stay("no-reports");
    }
    if (decision.switchPending) return stay("switch-pending");
    return this.planner.plan({
      map: decision.map,
      load: this.forecast.predict(LEAD_WINDOWS),
      ranks: this.ranks,
      costs: decision.costs,
      skewWeight: decision.skewWeight,
    });
  }

  private observeRequests(reports: readonly RankReport[]): void {
    for (const { rank, requestTokens } of reports) {
      const old = this.requestTokens[rank];
      this.requestTokens[rank] =
        old + REQUEST_SMOOTHING * (requestTokens - old);
    }
  }

  private reportSlowRanks(): void {
    const slow = new Set<number>();
    this.rankSpeeds.current().forEach((speed, rank) => {
      if (speed >= SLOW_RANK_SPEED) return;
      slow.add(rank);
      if (!this.slowRanks.has(rank)) this.emit(183, { rank, speed });
    });
    this.slowRanks = slow;
  }

  private reportMove(
    plan: Extract<Plan, { kind: "move" }>,
    { skewWeight }: Decision,
  ): void {
    this.emit(181, {
      map: plan.map.version,
      moves: plan.moves.length,
      bytes: plan.predicted.bytes,
      transferSeconds: plan.predicted.transferSeconds,
      skewBefore: plan.predicted.skewBefore,
      skewAfter: plan.predicted.skewAfter,
      savedSeconds: plan.predicted.savedSeconds,
      skewWeight,
    });
  }

  private reportStay(
    reason: StayReason,
    { skewBefore }: PlanForecast,
    { map }: Decision,
  ): void {
    this.emit(182, { map: map.version, reason, skew: skewBefore });
  }
}

function stay(reason: StayReason): Plan {
  return { kind: "stay", reason, predicted: NOTHING_PREDICTED };
}
