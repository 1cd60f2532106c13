/**
 * Plans bounded, incremental moves of experts: per layer a short sequence of
 * changes, of which the part is kept whose saving is beyond noise and worth
 * its cost, then over all layers the best changes for each fetch until the
 * bounds on transfer time and memory are reached.
 *
 * Made for demand that drifts: a full repack moves most experts and has its
 * weights in place only minutes later (64 ranks, 60 layers: about 85 s at
 * 4 GB/s), when the demand it was made for may be gone.
 */
import { alignSlots, layerStart, movesBetween } from "./expert-map.js";
import { LayerSearch, type SearchStep } from "./layer-search.js";
import { sum } from "./numbers.js";
import { rankTimes, skewOf, stepTime } from "./step-model.js";
import {
  EMPTY_SLOT,
  type ExpertMap,
  type GroupShape,
  type Plan,
  type PlanForecast,
  type PlanInput,
  type StayReason,
} from "./types.js";

export interface PlannerLimits {
  /** How long a new map is expected to be of use. */
  readonly horizonSeconds: number;
  /** Longest transfer of one plan: the plan is stale when it takes longer. */
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
  transferSeconds: 20,
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
    const verdicts = this.layerVerdicts(run);
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
    };
  }

  private layerVerdicts(run: Run): readonly LayerVerdict[] {
    const verdicts: LayerVerdict[] = [];
    for (let layer = 0; layer < this.shape.layers; layer++) {
      verdicts.push(this.layerVerdict(run, layer));
    }
    return verdicts;
  }

  private layerVerdict(run: Run, layer: number): LayerVerdict {
    const { search, limits } = this;
    const { load, ranks } = run.input;
    const tokens = layerOf(load.tokens, layer, this.shape.experts);
    const slots = layerSlots(run.input.map, layer);
    search.load(slots, tokens, run.layerRequestTokens, ranks.speeds);
    const before = search.slowest;
    const even = (sum(tokens) + sum(run.layerRequestTokens)) / run.speedSum;
    if (before <= even * (1 + limits.toleratedExcess)) return "balanced";
    const variance = layerOf(load.variance, layer, this.shape.experts);
    const noise = run.noiseDeviations * search.slowestDeviation(variance);
    if (before - even <= noise) return "within-noise";
    const steps = search.improve(limits.stepsPerLayer);
    if (steps.length === 0) return "no-better-map";
    return bestPrefix(run, layer, before, noise, steps);
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

  private move(run: Run, chosen: readonly LayerProposal[]): Plan {
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
 * weighed against the seconds that the weight store is kept busy. A second of
 * the store is priced like a second of steps at equal weights, as other groups
 * and starting VMs wait for it meanwhile.
 */
function bestPrefix(
  run: Run,
  layer: number,
  before: number,
  noise: number,
  steps: readonly SearchStep[],
): LayerVerdict {
  let best: LayerProposal | undefined;
  let beyondNoise = false;
  let fetches = 0;
  for (const [index, step] of steps.entries()) {
    fetches += step.slots.length;
    const gain = before - step.slowest;
    if (gain <= noise) continue;
    beyondNoise = true;
    const saved = (gain / run.slowest) * run.limits.horizonSeconds;
    const value = valueOf(run, saved, fetches);
    if (value <= (best?.value ?? 0)) continue;
    best = { layer, steps: steps.slice(0, index + 1), fetches, saved, value };
  }
  return best ?? (beyondNoise ? "not-worth-cost" : "within-noise");
}

function valueOf(run: Run, savedSeconds: number, fetches: number): number {
  const { skewWeight } = run.input;
  const cost = fetches * run.storeSecondsPerFetch;
  return skewWeight * savedSeconds - (1 - skewWeight) * cost;
}

/** The stall of the switch is paid once for all layers. */
function worthSwitch(run: Run, chosen: readonly LayerProposal[]): boolean {
  const { costs, skewWeight } = run.input;
  const value = chosen.reduce((total, { value }) => total + value, 0);
  const saved = chosen.reduce((total, { saved }) => total + saved, 0);
  const least = run.limits.leastSavedShare * run.limits.horizonSeconds;
  return saved > least && value > skewWeight * costs.switchSeconds;
}

function byValuePerFetch(
  proposals: readonly LayerProposal[],
): readonly LayerProposal[] {
  return proposals.toSorted(
    (a, b) => b.value / b.fetches - a.value / a.fetches,
  );
}

function layerOf(
  values: Float64Array,
  layer: number,
  experts: number,
): Float64Array {
  return values.subarray(layer * experts, (layer + 1) * experts);
}

function layerSlots(map: ExpertMap, layer: number): Int16Array {
  const perLayer = map.shape.ranks * map.shape.slotsPerRank;
  const start = layerStart(map.shape, layer);
  const slots = new Int16Array(perLayer).fill(EMPTY_SLOT);
  for (let slot = 0; slot < perLayer; slot++) {
    slots[slot] = map.slots[start + slot];
  }
  return slots;
}

/** A map fitted to known loads: a full repack, then the local search. */
export function refineMap(
  map: ExpertMap,
  tokens: Float64Array,
  ranks: PlanInput["ranks"],
  stepsPerLayer: number,
): ExpertMap {
  const { shape } = map;
  const search = LayerSearch.create(shape);
  const slots = Int16Array.from(map.slots);
  const requestTokens = Float64Array.from(
    { length: shape.ranks },
    (_, rank) => ranks.requestTokens[rank] / shape.layers,
  );
  for (let layer = 0; layer < shape.layers; layer++) {
    const layerTokens = layerOf(tokens, layer, shape.experts);
    search.load(
      layerSlots(map, layer),
      layerTokens,
      requestTokens,
      ranks.speeds,
    );
    search.improve(stepsPerLayer);
    slots.set(Array.from(search.currentSlots), layerStart(shape, layer));
  }
  alignSlots(shape, map.slots, slots);
  return { version: map.version + 1, shape, slots };
}
