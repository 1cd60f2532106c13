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

const SHARE_SMOOTHING = 0.3;
/**
 * Pairs of ranks whose work differs by less, relative to the median, are left
 * out: their slope is mostly noise. Where most work is that even, the fixed
 * part hardly matters, as it is alike for all ranks.
 */
const MIN_RELATIVE_SPREAD = 0.1;
/** A smaller share of a step can't be distinguished from noise. */
const MIN_FIXED_SHARE = 0.05;
const MAX_FIXED_SHARE = 0.95;

export class FixedTime {
  private share = 0;

  private constructor() {
    // Instances are made by create().
  }

  static create(): FixedTime {
    return new FixedTime();
  }

  /** Updates the estimate with one window of the group. */
  observe(points: readonly RankSample[]): void {
    const estimate = estimateFixedShare(points);
    if (estimate === undefined) return;
    this.share += SHARE_SMOOTHING * (estimate - this.share);
  }

  /** Fixed seconds of a window, given the busy seconds of the median rank. */
  fixedSecondsOf(medianSeconds: number): number {
    return this.share < MIN_FIXED_SHARE ? 0 : this.share * medianSeconds;
  }
}

/**
 * Share of the median time that remains at zero tokens, by a Theil-Sen fit (the
 * median slope over all pairs of ranks), which tolerates a quarter of the ranks
 * being slow. Undefined if the work of the ranks differs too little.
 */
function estimateFixedShare(points: readonly RankSample[]): number | undefined {
  const medianTokens = medianOf(points.map(({ tokens }) => tokens));
  const slopes = allPairs(points)
    .filter(
      ([a, b]) =>
        Math.abs(a.tokens - b.tokens) > MIN_RELATIVE_SPREAD * medianTokens,
    )
    .map(([a, b]) => (a.seconds - b.seconds) / (a.tokens - b.tokens));
  if (slopes.length < points.length) return undefined;
  const slope = medianOf(slopes);
  const fixed = medianOf(
    points.map(({ tokens, seconds }) => seconds - slope * tokens),
  );
  const medianSeconds = medianOf(points.map(({ seconds }) => seconds));
  return Math.min(Math.max(fixed / medianSeconds, 0), MAX_FIXED_SHARE);
}

function allPairs(
  points: readonly RankSample[],
): (readonly [RankSample, RankSample])[] {
  return points.flatMap((first, index) =>
    points.slice(index + 1).map((second) => [first, second] as const),
  );
}
