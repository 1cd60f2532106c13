/** Exponential means, their trend, and how surely a blend of them is known. */

/**
 * Smoothing of the two means, for windows of about 10 s: the fast one follows
 * a wave in about 3 windows, the slow one averages over 25, which is longer
 * than the swings that a map can't follow (transfer and switch take about 3).
 */
export const FAST = 0.3;
export const SLOW = 0.04;
/** How far an exponential mean lags behind a steady slope, in windows. */
const FAST_LAG = (1 - FAST) / FAST;
const SLOW_LAG = (1 - SLOW) / SLOW;
/** The trend may at most halve or double the fast mean. */
const TREND_LIMIT = 2;

/** Until enough windows are seen, a mean weighs all of them alike. */
export function gainAt(age: number, smoothing: number): number {
  return Math.max(smoothing, 1 / (age + 1));
}

/** The fast mean carried on along its slope, which the slow mean tells. */
export function trendOf(
  fast: number,
  slow: number,
  leadWindows: number,
): number {
  const slope = (fast - slow) / (SLOW_LAG - FAST_LAG);
  const value = fast + slope * (FAST_LAG + leadWindows);
  return Math.min(Math.max(value, fast / TREND_LIMIT), fast * TREND_LIMIT);
}

/** The fast mean, the slow mean and the trend by their weights. */
export function blendOf(
  fast: number,
  slow: number,
  weights: readonly number[],
  leadWindows: number,
): number {
  return (
    weights[0] * fast +
    weights[1] * slow +
    weights[2] * trendOf(fast, slow, leadWindows)
  );
}

/**
 * Variance of the blend over that of one window: the standard deviations are
 * added, which is exact for fully correlated forecasts and an upper limit
 * otherwise. Early on a mean has seen few windows.
 */
export function blendVariance(
  age: number,
  weights: readonly number[],
  leadWindows: number,
): number {
  const fewest = 1 / Math.max(age, 1);
  const fast = Math.max(FAST / (2 - FAST), fewest);
  const slow = Math.max(SLOW / (2 - SLOW), fewest);
  const reach = (FAST_LAG + leadWindows) / (SLOW_LAG - FAST_LAG);
  const trend = (1 + reach) ** 2 * fast + reach ** 2 * slow;
  const deviation =
    weights[0] * Math.sqrt(fast) +
    weights[1] * Math.sqrt(slow) +
    weights[2] * Math.sqrt(trend);
  return deviation * deviation;
}
