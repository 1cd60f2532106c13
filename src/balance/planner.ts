/**
 * Plans bounded, incremental moves of experts: per layer a short sequence of
 * changes, of which the part is kept whose saving is beyond noise and worth
 * its cost, then over all layers the best changes for each fetch until the
 * bounds on transfer time and memory are reached.
 *
 * Made for demand that drifts: a full repack moves most experts and has its
 * weights in place only minutes later (64 ranks, 60 layers: about 120 s at
 * 4 GB/s), when the demand it was made for may be gone.
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
  /** How long a new map is expected to be of use. */
  readonly horizonSeconds: number;
  /**
   * Longest transfer of one plan. With the agreement on the switch it fits one
   * window of ten seconds: of 64 ranks hit by a wave, the worst layers are
   * relieved first (skew 1.091; 1.106 with 20 s).
   */
  readonly transferSeconds: number;
  /** Most changes of one layer in one plan; bounds the planner's time. */
  readonly stepsPerLayer: number;
  /** A layer is left alone while its slowest rank is this close to even. */
  readonly toleratedExcess: number;
  /** Experts that a plan must save at least this share of the step for. */
  readonly leastSavedShare: number;
}

export const DEFAULT_LIMITS: PlannerLimits = {
  horizonSeconds: 300,
  transferSeconds: 9,
  stepsPerLayer: 16,
  toleratedExcess: 0.015,
  leastSavedShare: 0.002,
};

/**
 * Decisions of which one may be wrong by noise alone. The slowest of all ranks
 * and layers is looked at in every decision, so the test must hold for the
 * largest of that many samples: sqrt(2 ln n) standard deviations.
 */
const DECISIONS_PER_FALSE_ALARM = 100;

/**
 * Standard deviations of the load estimate taken off a foretold gain: the
 * change that looks best is partly the luckiest. Without it the last third of
 * the moves bought nothing (12 ranks, drift: 1,063 moves for skew 1.0158, with
 * it 967 for 1.0162, and 41 switches in place of 64).
 */
const LUCK_DEVIATIONS = 2;

/**
 * Price of a second of the weight store in seconds of steps at equal weights.
 * Other groups and starting VMs wait for the store meanwhile, but moving
 * slows no step, so it counts for less than the steps themselves. At 0.6 the
 * skew of 64 ranks was 1.051 in place of 1.043; at 0.15, 12 ranks moved a
 * quarter more for no less skew.
 */
const STORE_SECOND_PRICE = 0.3;

/** Changes that relieve a layer one by one, all that the search found. */
interface LayerChanges {
  readonly layer: number;
  readonly before: number;
  /** Gain that noise alone could show. */
  readonly noise: number;
  readonly steps: readonly SearchStep[];
}

/** Part of a layer's changes that is worth making. */
interface LayerProposal {
  readonly layer: number;
  readonly steps: readonly SearchStep[];
  readonly fetches: number;
  readonly saved: number;
  readonly value: number;
}

type LayerVerdict = LayerProposal | StayReason;

/** Working values of one run of the planner. */
interface Run {
  readonly input: PlanInput;
  readonly limits: PlannerLimits;
  readonly slowest: number;
  readonly speedSum: number;
  readonly layerRequestTokens: Float64Array;
  readonly noiseDeviations: number;
  readonly storeSecondsPerFetch: number;
  readonly confidence: number;
}

/** Stay reasons from the most to the least telling, for the plan as a whole. */
const REASONS: readonly StayReason[] = [
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
    limits: PlannerLimits = DEFAULT_LIMITS,
  ): Planner {
    return new Planner(shape, limits);
  }

  plan(input: PlanInput): Plan {
    const run = this.startRun(input);
    const found = this.searchLayers(run);
    const plan = this.choose(run, found);
    if (plan.kind === "move" || run.confidence === 1) return plan;
    const heldBack = this.choose({ ...run, confidence: 1 }, found);
    return heldBack.kind === "move" ? { ...plan, heldBack } : plan;
  }

  private choose(
    run: Run,
    found: readonly (LayerChanges | StayReason)[],
  ): Plan {
    const verdicts = found.map((changes) =>
      typeof changes === "string" ? changes : bestPrefix(run, changes),
    );
    const proposals = verdicts.filter((verdict) => typeof verdict === "object");
    if (proposals.length === 0) {
      const reason = REASONS.find((known) => verdicts.includes(known));
      return this.stay(run, reason ?? "balanced");
    }
    const chosen = this.withinBounds(run, proposals);
    if (!worthSwitch(run, chosen)) return this.stay(run, "not-worth-cost");
    return this.move(run, chosen);
  }

  private startRun(input: PlanInput): Run {
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

  private searchLayers(run: Run): readonly (LayerChanges | StayReason)[] {
    const found: (LayerChanges | StayReason)[] = [];
    for (let layer = 0; layer < this.shape.layers; layer++) {
      found.push(this.searchLayer(run, layer));
    }
    return found;
  }

  private searchLayer(run: Run, layer: number): LayerChanges | StayReason {
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

  /** The best proposals for each fetch that fit transfer time and memory. */
  private withinBounds(
    run: Run,
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

  private move(run: Run, chosen: readonly LayerProposal[]): MovePlan {
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

  private stay(run: Run, reason: StayReason): Plan {
    const predicted = this.forecast(run, run.input.map, 0);
    return { kind: "stay", reason, predicted };
  }

  private forecast(run: Run, next: ExpertMap, fetches: number): PlanForecast {
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
 * The steps up to the one with the highest value: time saved over the horizon,
 * weighed against the seconds that the weight store is kept busy.
 */
function bestPrefix(
  run: Run,
  { layer, before, noise, steps }: LayerChanges,
): LayerVerdict {
  let best: LayerProposal | undefined;
  let beyondNoise = false;
  let fetches = 0;
  for (const [index, step] of steps.entries()) {
    fetches += step.slots.length;
    const gain = before - step.slowest;
    if (gain <= noise) continue;
    beyondNoise = true;
    const sure = gain - (noise / run.noiseDeviations) * LUCK_DEVIATIONS;
    const saved = (sure / run.slowest) * run.limits.horizonSeconds;
    const value = valueOf(run, saved, fetches);
    if (value <= (best?.value ?? 0)) continue;
    best = { layer, steps: steps.slice(0, index + 1), fetches, saved, value };
  }
  return best ?? (beyondNoise ? "not-worth-cost" : "within-noise");
}

function valueOf(run: Run, savedSeconds: number, fetches: number): number {
  const { confidence, storeSecondsPerFetch } = run;
  const saved = savedSeconds * confidence;
  return netValue(run.input.skewWeight, saved, fetches * storeSecondsPerFetch);
}

function netValue(
  skewWeight: number,
  savedSeconds: number,
  storeSeconds: number,
): number {
  const cost = storeSeconds * STORE_SECOND_PRICE;
  return skewWeight * savedSeconds - (1 - skewWeight) * cost;
}

function worthSwitch(run: Run, chosen: readonly LayerProposal[]): boolean {
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

/** The stall of the switch is paid once for all layers. */
export function isWorthwhile(
  { skewWeight, costs }: Pick<PlanInput, "skewWeight" | "costs">,
  limits: PlannerLimits,
  savedSeconds: number,
  storeSeconds: number,
): boolean {
  const value = netValue(skewWeight, savedSeconds, storeSeconds);
  const least = limits.leastSavedShare * limits.horizonSeconds;
  return savedSeconds > least && value > skewWeight * costs.switchSeconds;
}

function byValuePerFetch(
  proposals: readonly LayerProposal[],
): readonly LayerProposal[] {
  return proposals.toSorted(
    (a, b) => b.value / b.fetches - a.value / a.fetches,
  );
}
