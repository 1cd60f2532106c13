/**
 * The balancer of one group: takes in rank reports window by window, keeps the
 * forecast and the ranks' speeds, and decides for each window whether the
 * expert map changes. No input or output; the caller has the map switched.
 */
import type { Emit } from "../internal.js";
import { BenefitRecord } from "./benefit-record.js";
import { LoadForecast } from "./load-forecast.js";
import { LoadHistory } from "./load-history.js";
import {
  DEFAULT_LIMITS,
  isWorthwhile,
  Planner,
  type PlannerLimits,
} from "./planner.js";
import { collectTokens, RankSpeeds } from "./rank-reports.js";
import { expertWork, levelRequests } from "./request-shares.js";
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
  private readonly history = LoadHistory.create();
  private readonly benefit = BenefitRecord.create();
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
    const tokens = collectTokens(map, usable);
    this.forecast.observe(tokens);
    this.rankSpeeds.observe(usable);
    this.observeRequests(usable);
    const complete = this.forecast.complete(tokens);
    this.history.observe(complete);
    this.benefit.observe(complete, this.ranks);
    this.reportSlowRanks();
  }

  /**
   * Request work for each rank, of `total` in all, that levels out the expert
   * work expected under the map; placement within the group steers by it.
   */
  levelledRequests(map: ExpertMap, total: number): Float64Array {
    const { speeds } = this.ranks;
    const requestTokens = new Float64Array(this.shape.ranks);
    const { tokens } = this.forecast.predict(0);
    const times = rankTimes(map, tokens, { speeds, requestTokens });
    const expertTokens = expertWork(times, speeds);
    return levelRequests({ expertTokens, speeds }, total);
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
    const input = this.planInput(decision);
    const plan = this.planner.plan(input);
    this.putToProof(plan, input);
    if (plan.kind === "move" && !this.holdsOnHistory(plan, input)) {
      return {
        kind: "stay",
        reason: "not-worth-cost",
        predicted: plan.predicted,
      };
    }
    return plan;
  }

  private planInput(decision: Decision): PlanInput {
    return {
      map: decision.map,
      load: this.forecast.predict(LEAD_WINDOWS),
      ranks: this.ranks,
      costs: decision.costs,
      skewWeight: decision.skewWeight,
      confidence: this.benefit.confidence,
    };
  }

  /**
   * As far as demand is known to return to where it was, what counts is what
   * the plan would have saved there.
   */
  private holdsOnHistory(plan: MovePlan, input: PlanInput): boolean {
    const { map, ranks, confidence } = input;
    const { skewBefore, skewAfter, transferSeconds } = plan.predicted;
    const foretold = 1 - skewAfter / skewBefore;
    const past = this.history.savedShare(map, plan.map, ranks);
    const { returningShare } = this.forecast;
    const share = (1 - returningShare) * foretold + returningShare * past;
    const saved = confidence * share * this.limits.horizonSeconds;
    return isWorthwhile(input, this.limits, saved, transferSeconds);
  }

  /** A plan that only low confidence holds back is put to the proof as well. */
  private putToProof(plan: Plan, { map }: PlanInput): void {
    const tried = plan.kind === "move" ? plan : plan.heldBack;
    if (tried === undefined) return;
    const { skewBefore, skewAfter } = tried.predicted;
    this.benefit.start(map, tried.map, 1 - skewAfter / skewBefore);
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

  private reportMove(plan: MovePlan, { skewWeight }: Decision): void {
    this.emit(181, {
      map: plan.map.version,
      moves: plan.moves.length,
      bytes: plan.predicted.bytes,
      transferSeconds: plan.predicted.transferSeconds,
      skewBefore: plan.predicted.skewBefore,
      skewAfter: plan.predicted.skewAfter,
      savedSeconds: plan.predicted.savedSeconds,
      skewWeight,
      confidence: this.benefit.confidence,
    });
  }

  private reportStay(
    reason: StayReason,
    { skewBefore }: PlanForecast,
    { map }: Decision,
  ): void {
    const { confidence } = this.benefit;
    this.emit(182, { map: map.version, reason, skew: skewBefore, confidence });
  }
}

function stay(reason: StayReason): Plan {
  return { kind: "stay", reason, predicted: NOTHING_PREDICTED };
}
