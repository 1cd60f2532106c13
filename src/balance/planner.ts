/**
 * Plans bounded, incremental expert moves. For each layer it searches a short
 * sequence of changes and keeps the prefix whose saving exceeds noise and cost;
 * across layers it then picks the best value per fetch until the bounds on
 * transfer time and memory are reached.
 *
 * Suited to drifting demand: a full repack moves most experts and has their
 * weights in place only minutes later (64 ranks, 60 layers: about 120 s at
 * 4 GB/s), when demand may have changed again.
 */
import { alignSlots, layerStart, movesBetween } from "./expert-map.js";
import { LayerSearch, type SearchStep } from "./layer-search.js";
import { layerSlots, layerValues } from "./layers.js";
import { sum } from "./numbers.js";
import { rankTimes, skewOf, stepTime } from "./step-model.js";
import {
  type ExpertMap,
  type GroupShape,
  type MovePlan,
  type Plan,
  type PlanForecast,
  type PlanInput,
  type StayReason,
} from "./types.js";

export interface PlannerLimits {
  /** Time over which a new map is expected to save step time. */
  readonly horizonSeconds: number;
  /**
   * Longest transfer of one plan. Together with the agreement on the switch it
   * fits one window of ten seconds, so that after a wave the worst layers are
   * relieved first (64 ranks: skew 1.091, against 1.106 with 20 s).
   */
  readonly transferSeconds: number;
  /** Maximum changes per layer in one plan; bounds the planning time. */
  readonly stepsPerLayer: number;
  /**
   * A layer is balanced if its slowest rank's time exceeds the time with work
   * spread perfectly by at most this share.
   */
  readonly toleratedExcess: number;
  /** Smallest share of the step time that a plan must save. */
  readonly minimumSavedShare: number;
}

export const DEFAULT_PLANNER_LIMITS: PlannerLimits = {
  horizonSeconds: 300,
  transferSeconds: 9,
  stepsPerLayer: 16,
  toleratedExcess: 0.015,
  minimumSavedShare: 0.002,
};

/**
 * Expected number of decisions per false alarm by noise. Each decision tests
 * the slowest of all ranks and layers, so the threshold must hold for the
 * maximum of that many samples: sqrt(2 ln n) standard deviations.
 */
const DECISIONS_PER_FALSE_ALARM = 100;

/**
 * Standard deviations of the load estimate subtracted from a predicted gain, to
 * correct for selection bias: the change that looks best owes part of its gain
 * to noise. Without it the last third of the moves gained nothing (12 ranks,
 * drift: 1,063 moves and 64 switches for skew 1.0158; with it 967 and 41 for
 * 1.0162).
 */
const SELECTION_BIAS_DEVIATIONS = 2;

/**
 * Cost of one second of weight store time, in seconds of step time, when skew
 * and cost weigh the same. It is below 1, as transfers make other groups and
 * starting VMs wait for the store but slow no step. With 0.6 the skew of 64
 * ranks rose from 1.043 to 1.051; with 0.15, 12 ranks made a quarter more moves
 * without reducing skew.
 */
const STORE_SECOND_WEIGHT = 0.3;

/** The sequence of changes that the search found for one layer. */
interface LayerChanges {
  readonly layer: number;
  /** Slowest rank's time before the changes. */
  readonly before: number;
  /** Largest gain that noise alone could produce. */
  readonly noise: number;
  readonly steps: readonly SearchStep[];
}

/** Prefix of a layer's changes that is worth making. */
interface LayerProposal {
  readonly layer: number;
  readonly steps: readonly SearchStep[];
  readonly fetches: number;
  /** Seconds saved over the horizon. */
  readonly saved: number;
  /** Weighted saving less the weighted cost, in seconds. */
  readonly value: number;
}

type LayerResult = LayerProposal | StayReason;

/** Inputs and derived values of one planner run. */
interface PlanningRun {
  readonly input: PlanInput;
  readonly limits: PlannerLimits;
  readonly slowest: number;
  readonly speedSum: number;
  readonly layerRequestTokens: Float64Array;
  readonly noiseDeviations: number;
  readonly storeSecondsPerFetch: number;
  readonly confidence: number;
}

/** The first of these that applies to a layer becomes the plan's reason. */
const STAY_REASON_PRIORITY: readonly StayReason[] = [
  "not-worth-cost",
  "no-better-map",
  "within-noise",
  "balanced",
];

export class Planner {
  private readonly search: LayerSearch;

  private constructor(
    private readonly shape: GroupShape,
    private readonly limits: PlannerLimits,
  ) {
    this.search = LayerSearch.create(shape);
  }

  static create(
    shape: GroupShape,
    limits: PlannerLimits = DEFAULT_PLANNER_LIMITS,
  ): Planner {
    return new Planner(shape, limits);
  }

  plan(input: PlanInput): Plan {
    const run = this.startRun(input);
    const found = this.searchLayers(run);
    const plan = this.selectPlan(run, found);
    if (plan.kind === "move" || run.confidence === 1) return plan;
    const fullConfidencePlan = this.selectPlan(
      { ...run, confidence: 1 },
      found,
    );
    return fullConfidencePlan.kind === "move"
      ? { ...plan, fullConfidencePlan: fullConfidencePlan }
      : plan;
  }

  private selectPlan(
    run: PlanningRun,
    found: readonly (LayerChanges | StayReason)[],
  ): Plan {
    const results = found.map((changes) =>
      typeof changes === "string" ? changes : bestPrefix(run, changes),
    );
    const proposals = results.filter((result) => typeof result === "object");
    if (proposals.length === 0) {
      const reason = STAY_REASON_PRIORITY.find((item) =>
        results.includes(item),
      );
      return this.stay(run, reason ?? "balanced");
    }
    const chosen = this.selectWithinBounds(run, proposals);
    if (!isWorthSwitching(run, chosen)) return this.stay(run, "not-worth-cost");
    return this.move(run, chosen);
  }

  private startRun(input: PlanInput): PlanningRun {
    const { ranks, layers } = this.shape;
    const { speeds, requestTokens } = input.ranks;
    const times = rankTimes(input.map, input.load.tokens, input.ranks);
    const samples = ranks * layers * DECISIONS_PER_FALSE_ALARM;
    return {
      input,
      limits: this.limits,
      slowest: stepTime(this.shape, times, speeds).slowest,
      speedSum: sum(speeds),
      layerRequestTokens: Float64Array.from(
        { length: ranks },
        (_, rank) => requestTokens[rank] / layers,
      ),
      noiseDeviations: Math.sqrt(2 * Math.log(samples)),
      storeSecondsPerFetch:
        input.costs.bytesPerExpert / input.costs.storeBytesPerSecond,
      confidence: input.confidence,
    };
  }

  private searchLayers(
    run: PlanningRun,
  ): readonly (LayerChanges | StayReason)[] {
    const found: (LayerChanges | StayReason)[] = [];
    for (let layer = 0; layer < this.shape.layers; layer++) {
      found.push(this.searchLayer(run, layer));
    }
    return found;
  }

  private searchLayer(
    run: PlanningRun,
    layer: number,
  ): LayerChanges | StayReason {
    const { search, limits } = this;
    const { load, ranks } = run.input;
    const tokens = layerValues(load.tokens, layer, this.shape.experts);
    const slots = layerSlots(run.input.map, layer);
    search.load(slots, tokens, run.layerRequestTokens, ranks.speeds);
    const before = search.slowest;
    const even = (sum(tokens) + sum(run.layerRequestTokens)) / run.speedSum;
    if (before <= even * (1 + limits.toleratedExcess)) return "balanced";
    const variance = layerValues(load.variance, layer, this.shape.experts);
    const noise = run.noiseDeviations * search.slowestDeviation(variance);
    if (before - even <= noise) return "within-noise";
    const steps = search.improve(limits.stepsPerLayer);
    if (steps.length === 0) return "no-better-map";
    return { layer, before, noise, steps };
  }

  /** Selects proposals by value per fetch within transfer time and memory. */
  private selectWithinBounds(
    run: PlanningRun,
    proposals: readonly LayerProposal[],
  ): readonly LayerProposal[] {
    const { stagingExpertsPerRank } = run.input.costs;
    const staged = new Int32Array(this.shape.ranks);
    let fetchesLeft = run.limits.transferSeconds / run.storeSecondsPerFetch;
    const chosen: LayerProposal[] = [];
    for (const proposal of byValuePerFetch(proposals)) {
      if (proposal.fetches > fetchesLeft) continue;
      const ranks = this.fetchingRanks(proposal);
      for (const rank of ranks) staged[rank]++;
      if (ranks.some((rank) => staged[rank] > stagingExpertsPerRank)) {
        for (const rank of ranks) staged[rank]--;
        continue;
      }
      fetchesLeft -= proposal.fetches;
      chosen.push(proposal);
    }
    return chosen;
  }

  private fetchingRanks(proposal: LayerProposal): readonly number[] {
    return proposal.steps
      .flatMap((step) => step.slots)
      .map((slot) => Math.floor(slot / this.shape.slotsPerRank));
  }

  private move(run: PlanningRun, chosen: readonly LayerProposal[]): MovePlan {
    const { map } = run.input;
    const slots = Int16Array.from(map.slots);
    for (const { layer, steps } of chosen) {
      const start = layerStart(this.shape, layer);
      for (const step of steps) {
        step.slots.forEach((slot, index) => {
          slots[start + slot] = step.experts[index];
        });
      }
    }
    alignSlots(this.shape, map.slots, slots);
    const next = { version: map.version + 1, shape: this.shape, slots };
    const moves = movesBetween(map, next);
    const predicted = this.forecast(run, next, moves.length);
    return { kind: "move", map: next, moves, predicted };
  }

  private stay(run: PlanningRun, reason: StayReason): Plan {
    const predicted = this.forecast(run, run.input.map, 0);
    return { kind: "stay", reason, predicted };
  }

  private forecast(
    run: PlanningRun,
    next: ExpertMap,
    fetches: number,
  ): PlanForecast {
    const { map, load, ranks, costs } = run.input;
    const timeOf = (candidate: ExpertMap) =>
      stepTime(
        this.shape,
        rankTimes(candidate, load.tokens, ranks),
        ranks.speeds,
      );
    const before = timeOf(map);
    const after = timeOf(next);
    const savedShare =
      before.slowest > 0 ? 1 - after.slowest / before.slowest : 0;
    const stall = fetches > 0 ? costs.switchSeconds : 0;
    return {
      skewBefore: skewOf(before),
      skewAfter: skewOf(after),
      bytes: fetches * costs.bytesPerExpert,
      transferSeconds: fetches * run.storeSecondsPerFetch,
      savedSeconds: savedShare * this.limits.horizonSeconds - stall,
    };
  }
}

/**
 * Returns the prefix of steps with the highest value: time saved over the
 * horizon, weighed against the transfer time at the weight store.
 */
function bestPrefix(
  run: PlanningRun,
  { layer, before, noise, steps }: LayerChanges,
): LayerResult {
  let best: LayerProposal | undefined;
  let beyondNoise = false;
  let fetches = 0;
  for (const [index, step] of steps.entries()) {
    fetches += step.slots.length;
    const gain = before - step.slowest;
    if (gain <= noise) continue;
    beyondNoise = true;
    const correctedGain =
      gain - (noise / run.noiseDeviations) * SELECTION_BIAS_DEVIATIONS;
    const saved = (correctedGain / run.slowest) * run.limits.horizonSeconds;
    const value = netValueOf(run, saved, fetches);
    if (value <= (best?.value ?? 0)) continue;
    best = { layer, steps: steps.slice(0, index + 1), fetches, saved, value };
  }
  return best ?? (beyondNoise ? "not-worth-cost" : "within-noise");
}

function netValueOf(
  run: PlanningRun,
  savedSeconds: number,
  fetches: number,
): number {
  const { confidence, storeSecondsPerFetch } = run;
  const saved = savedSeconds * confidence;
  return netValue(run.input.skewWeight, saved, fetches * storeSecondsPerFetch);
}

function netValue(
  skewWeight: number,
  savedSeconds: number,
  storeSeconds: number,
): number {
  const cost = storeSeconds * STORE_SECOND_WEIGHT;
  return skewWeight * savedSeconds - (1 - skewWeight) * cost;
}

function isWorthSwitching(
  run: PlanningRun,
  chosen: readonly LayerProposal[],
): boolean {
  const fetches = chosen.reduce((total, { fetches }) => total + fetches, 0);
  const saved = chosen.reduce((total, { saved }) => total + saved, 0);
  const storeSeconds = fetches * run.storeSecondsPerFetch;
  return isWorthwhile(
    run.input,
    run.limits,
    saved * run.confidence,
    storeSeconds,
  );
}

/**
 * Whether the saving exceeds the cost, with one switch stall for all layers.
 */
export function isWorthwhile(
  { skewWeight, costs }: Pick<PlanInput, "skewWeight" | "costs">,
  limits: PlannerLimits,
  savedSeconds: number,
  storeSeconds: number,
): boolean {
  const value = netValue(skewWeight, savedSeconds, storeSeconds);
  const minimum = limits.minimumSavedShare * limits.horizonSeconds;
  return savedSeconds > minimum && value > skewWeight * costs.switchSeconds;
}

function byValuePerFetch(
  proposals: readonly LayerProposal[],
): readonly LayerProposal[] {
  return proposals.toSorted(
    (a, b) => b.value / b.fetches - a.value / a.fetches,
  );
}
