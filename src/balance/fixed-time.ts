/**
 * The part of a step that doesn't depend on the tokens of a rank: launching
 * kernels, exchange, attention of an almost empty batch.
 *
 * Taken for work, it makes a rank with much to do look fast and one with
 * little look slow; the planner would then load the busy rank further, and the
 * skew would grow with every plan.
 */
import { medianOf } from "./numbers.js";

/** Work and time of one rank in one window. */
export interface RankPoint {
  readonly tokens: number;
  readonly seconds: number;
}

const SMOOTHING = 0.3;
/**
 * With less spread of work between ranks the line through the points is
 * mostly noise; the fixed part hardly matters then, as it is alike for all.
 */
const LEAST_SPREAD = 0.1;
/** Below this share of a step it can't be told from noise. */
const LEAST_SHARE = 0.05;
const LARGEST_SHARE = 0.95;

export class FixedTime {
  private share = 0;

  private constructor() {
    // Only `create` makes one.
  }

  static create(): FixedTime {
    return new FixedTime();
  }

  /** Takes in one window of the group. */
  observe(points: readonly RankPoint[]): void {
    const estimate = fixedShare(points);
    if (estimate === undefined) return;
    this.share += SMOOTHING * (estimate - this.share);
  }

  /** Seconds of a window whose median rank takes so long. */
  secondsOf(medianSeconds: number): number {
    return this.share < LEAST_SHARE ? 0 : this.share * medianSeconds;
  }
}

/**
 * Share of the median time at no work, by the median of the slopes between all
 * pairs of ranks (Theil and Sen): up to a quarter of the ranks may be slow
 * without bending the line. Undefined where the ranks' work is too even.
 */
function fixedShare(points: readonly RankPoint[]): number | undefined {
  const middle = medianOf(points.map(({ tokens }) => tokens));
  const slopes = pairsOf(points)
    .filter(([a, b]) => Math.abs(a.tokens - b.tokens) > LEAST_SPREAD * middle)
    .map(([a, b]) => (a.seconds - b.seconds) / (a.tokens - b.tokens));
  if (slopes.length < points.length) return undefined;
  const slope = medianOf(slopes);
  const fixed = medianOf(
    points.map(({ tokens, seconds }) => seconds - slope * tokens),
  );
  const median = medianOf(points.map(({ seconds }) => seconds));
  return Math.min(Math.max(fixed / median, 0), LARGEST_SHARE);
}

function pairsOf(
  points: readonly RankPoint[],
): (readonly [RankPoint, RankPoint])[] {
  return points.flatMap((first, index) =>
    points.slice(index + 1).map((second) => [first, second] as const),
  );
}
