/**
 * Balances the experts of one group: processes rank reports per window, updates
 * the load forecast and the rank speeds, and decides per window whether to
 * change the expert map. Does no I/O; the caller switches the map.
 */
import type { Emit } from "../internal.js";
import { PlanAccuracy } from "./plan-accuracy.js";
import { LoadForecast } from "./load-forecast.js";
import { LoadHistory } from "./load-history.js";
import {
  DEFAULT_PLANNER_LIMITS,
  isWorthwhile,
  Planner,
  type PlannerLimits,
} from "./planner.js";
import { collectTokens, RankSpeeds } from "./rank-reports.js";
import { expertWork, distributeRequests } from "./request-shares.js";
import { rankTimes } from "./step-model.js";
import type {
  ExpertMap,
  GroupShape,
  MoveCosts,
  MovePlan,
  Plan,
  PlanForecast,
  PlanInput,
  RankReport,
  RankState,
  StayReason,
} from "./types.js";

/**
 * Windows between the last report and the middle of the time in which a new map
 * is expected to serve: reports are one window late, transfer and switch take
 * up to three windows, and the rest are the first windows under the new map.
 */
const FORECAST_LEAD_WINDOWS = 8;
/** Windows observed before the first decision, to estimate the noise. */
const MINIMUM_OBSERVED_WINDOWS = 5;
const REQUEST_SMOOTHING_FACTOR = 0.3;
/**
 * Speed, relative to the median rank, below which a rank is reported as slow:
 * no map compensates for much lower speeds.
 */
const SLOW_RANK_THRESHOLD = 0.85;

export interface DecisionInput {
  readonly map: ExpertMap;
  /** The map last decided on isn't in force on all ranks yet. */
  readonly switchPending: boolean;
  readonly costs: MoveCosts;
  readonly skewWeight: number;
}

const NO_FORECAST: PlanForecast = {
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
  private readonly history = LoadHistory.create();
  private readonly planAccuracy = PlanAccuracy.create();
  private slowRanks: ReadonlySet<number> = new Set();

  private constructor(
    private readonly shape: GroupShape,
    private readonly limits: PlannerLimits,
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
    limits: PlannerLimits = DEFAULT_PLANNER_LIMITS,
  ): Balancer {
    return new Balancer(shape, limits, emit);
  }

  /** Speeds and request work of the ranks, as estimated from the reports. */
  get ranks(): RankState {
    const { fixedTokens } = this.rankSpeeds;
    return {
      speeds: this.rankSpeeds.current(),
      // The fixed part of a step counts as request work, as no map can move it.
      requestTokens: this.requestTokens.map((tokens) => tokens + fixedTokens),
    };
  }

  /** Processes the reports of one window, counted under the given map. */
  observe(map: ExpertMap, reports: readonly RankReport[]): void {
    // Tokens counted under another map would be assigned to wrong experts.
    const usable = reports.filter(
      ({ mapVersion }) => mapVersion === map.version,
    );
    if (usable.length < this.shape.ranks) {
      const missing = this.shape.ranks - usable.length;
      this.emit(184, { map: map.version, missing });
    }
    if (usable.length === 0) return;
    const tokens = collectTokens(map, usable);
    this.forecast.observe(tokens);
    this.rankSpeeds.observe(usable);
    this.observeRequests(usable);
    const complete = this.forecast.complete(tokens);
    this.history.observe(complete);
    this.planAccuracy.observe(complete, this.ranks);
    this.reportSlowRanks();
  }

  /**
   * Distributes `total` request work over the ranks so that it evens out the
   * expert work predicted under the map; placement in the group uses the
   * result.
   */
  balancedRequests(map: ExpertMap, total: number): Float64Array {
    const { speeds } = this.ranks;
    const requestTokens = new Float64Array(this.shape.ranks);
    const { tokens } = this.forecast.predict(0);
    const times = rankTimes(map, tokens, { speeds, requestTokens });
    const expertTokens = expertWork(times, speeds);
    return distributeRequests({ expertTokens, speeds }, total);
  }

  /** Decides whether to move experts, and emits an event with the reason. */
  decide(decision: DecisionInput): Plan {
    const plan = this.planFor(decision);
    if (plan.kind === "move") this.reportMove(plan, decision);
    else this.reportStay(plan.reason, plan.predicted, decision);
    return plan;
  }

  private planFor(decision: DecisionInput): Plan {
    if (this.forecast.observedWindows < MINIMUM_OBSERVED_WINDOWS) {
      return stay("no-reports");
    }
    if (decision.switchPending) return stay("switch-pending");
    const input = this.planInput(decision);
    const plan = this.planner.plan(input);
    this.startEvaluation(plan, input);
    if (plan.kind === "move" && !this.isWorthwhileOnHistory(plan, input)) {
      return {
        kind: "stay",
        reason: "not-worth-cost",
        predicted: plan.predicted,
      };
    }
    return plan;
  }

  private planInput(decision: DecisionInput): PlanInput {
    return {
      map: decision.map,
      load: this.forecast.predict(FORECAST_LEAD_WINDOWS),
      ranks: this.ranks,
      costs: decision.costs,
      skewWeight: decision.skewWeight,
      confidence: this.planAccuracy.confidence,
    };
  }

  /**
   * Whether the plan is worthwhile by the mean of its predicted saving and its
   * saving on recent windows. The latter is weighted by the share of demand
   * that is known to return to earlier levels.
   */
  private isWorthwhileOnHistory(plan: MovePlan, input: PlanInput): boolean {
    const { map, ranks, confidence } = input;
    const { skewBefore, skewAfter, transferSeconds } = plan.predicted;
    const predicted = 1 - skewAfter / skewBefore;
    const historical = this.history.savedShare(map, plan.map, ranks);
    const { returningShare } = this.forecast;
    const share =
      (1 - returningShare) * predicted + returningShare * historical;
    const saved = confidence * share * this.limits.horizonSeconds;
    return isWorthwhile(input, this.limits, saved, transferSeconds);
  }

  /** Also evaluates a plan that was rejected only for low confidence. */
  private startEvaluation(plan: Plan, { map }: PlanInput): void {
    const candidate = plan.kind === "move" ? plan : plan.fullConfidencePlan;
    if (candidate === undefined) return;
    const { skewBefore, skewAfter } = candidate.predicted;
    this.planAccuracy.startEvaluation(
      map,
      candidate.map,
      1 - skewAfter / skewBefore,
    );
  }

  private observeRequests(reports: readonly RankReport[]): void {
    for (const { rank, requestTokens } of reports) {
      const old = this.requestTokens[rank];
      this.requestTokens[rank] =
        old + REQUEST_SMOOTHING_FACTOR * (requestTokens - old);
    }
  }

  private reportSlowRanks(): void {
    const slow = new Set<number>();
    this.rankSpeeds.current().forEach((speed, rank) => {
      if (speed >= SLOW_RANK_THRESHOLD) return;
      slow.add(rank);
      if (!this.slowRanks.has(rank)) this.emit(183, { rank, speed });
    });
    this.slowRanks = slow;
  }

  private reportMove(plan: MovePlan, { skewWeight }: DecisionInput): void {
    this.emit(181, {
      map: plan.map.version,
      moves: plan.moves.length,
      bytes: plan.predicted.bytes,
      transferSeconds: plan.predicted.transferSeconds,
      skewBefore: plan.predicted.skewBefore,
      skewAfter: plan.predicted.skewAfter,
      savedSeconds: plan.predicted.savedSeconds,
      skewWeight,
      confidence: this.planAccuracy.confidence,
    });
  }

  private reportStay(
    reason: StayReason,
    { skewBefore }: PlanForecast,
    { map }: DecisionInput,
  ): void {
    const { confidence } = this.planAccuracy;
    this.emit(182, { map: map.version, reason, skew: skewBefore, confidence });
  }
}

function stay(reason: StayReason): Plan {
  return { kind: "stay", reason, predicted: NO_FORECAST };
}
