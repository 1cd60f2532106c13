/**
 * Estimates the part of a step that doesn't depend on a rank's tokens: kernel
 * launches, exchange between ranks, attention of an almost empty batch.
 *
 * If this part counted as work, a rank with many tokens would look fast and one
 * with few would look slow; the planner would then add load to the busy rank,
 * and the skew would grow with every plan.
 */
import { medianOf } from "./numbers.js";

/** Tokens and time of one rank in one window. */
export interface RankSample {
  readonly tokens: number;
  readonly seconds: number;
}

const SHARE_SMOOTHING_FACTOR = 0.3;
/**
 * Pairs of ranks whose work differs by less, relative to the median, are left
 * out: their slope is mostly noise. Where most work is that even, the fixed
 * part hardly matters, as it is alike for all ranks.
 */
const MINIMUM_RELATIVE_SPREAD = 0.1;
/** A smaller share of a step can't be distinguished from noise. */
const MINIMUM_FIXED_SHARE = 0.05;
const MAXIMUM_FIXED_SHARE = 0.95;

export class FixedTime {
  private fixedShare = 0;

  private constructor() {
    // Instances are made by create().
  }

  static create(): FixedTime {
    return new FixedTime();
  }

  /** Updates the estimate with one window of the group. */
  observe(samples: readonly RankSample[]): void {
    const estimate = estimateFixedShare(samples);
    if (estimate === undefined) return;
    this.fixedShare += SHARE_SMOOTHING_FACTOR * (estimate - this.fixedShare);
  }

  /** Fixed seconds of a window, given the busy seconds of the median rank. */
  fixedSecondsOf(medianSeconds: number): number {
    return this.fixedShare < MINIMUM_FIXED_SHARE
      ? 0
      : this.fixedShare * medianSeconds;
  }
}

/**
 * Share of the median time that remains at zero tokens, by a Theil-Sen fit (the
 * median slope over all pairs of ranks), which tolerates a quarter of the ranks
 * being slow. Undefined if the work of the ranks differs too little.
 */
function estimateFixedShare(
  samples: readonly RankSample[],
): number | undefined {
  const medianTokens = medianOf(samples.map(({ tokens }) => tokens));
  const slopes = allPairs(samples)
    .filter(
      ([a, b]) =>
        Math.abs(a.tokens - b.tokens) > MINIMUM_RELATIVE_SPREAD * medianTokens,
    )
    .map(([a, b]) => (a.seconds - b.seconds) / (a.tokens - b.tokens));
  if (slopes.length < samples.length) return undefined;
  const slope = medianOf(slopes);
  const fixed = medianOf(
    samples.map(({ tokens, seconds }) => seconds - slope * tokens),
  );
  const medianSeconds = medianOf(samples.map(({ seconds }) => seconds));
  return Math.min(Math.max(fixed / medianSeconds, 0), MAXIMUM_FIXED_SHARE);
}

function allPairs(
  samples: readonly RankSample[],
): (readonly [RankSample, RankSample])[] {
  return samples.flatMap((first, index) =>
    samples.slice(index + 1).map((second) => [first, second] as const),
  );
}
