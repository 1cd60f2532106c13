/** Exponential means, their trend, and the variance of a blend of them. */

/**
 * Smoothing factors for windows of about 10 s: the fast mean follows a wave in
 * about 3 windows; the slow mean averages over 25, longer than oscillations
 * that a map can't follow (transfer and switch take about 3 windows).
 */
export const FAST_SMOOTHING_FACTOR = 0.3;
export const SLOW_SMOOTHING_FACTOR = 0.04;
/** Lag of an exponential mean behind a steady slope, in windows. */
const FAST_LAG_WINDOWS = (1 - FAST_SMOOTHING_FACTOR) / FAST_SMOOTHING_FACTOR;
const SLOW_LAG_WINDOWS = (1 - SLOW_SMOOTHING_FACTOR) / SLOW_SMOOTHING_FACTOR;
/** The trend can at most halve or double the fast mean. */
const TREND_LIMIT = 2;

/** Weight of the next value; early values are all weighted equally. */
export function gainAt(age: number, smoothingFactor: number): number {
  return Math.max(smoothingFactor, 1 / (age + 1));
}

/** Extrapolates the fast mean by the slope derived from both means. */
export function extrapolateTrend(
  fast: number,
  slow: number,
  leadWindows: number,
): number {
  const slope = (fast - slow) / (SLOW_LAG_WINDOWS - FAST_LAG_WINDOWS);
  const value = fast + slope * (FAST_LAG_WINDOWS + leadWindows);
  return Math.min(Math.max(value, fast / TREND_LIMIT), fast * TREND_LIMIT);
}

/** Weighted sum of the fast mean, the slow mean and the trend. */
export function blendForecasts(
  fast: number,
  slow: number,
  weights: readonly number[],
  leadWindows: number,
): number {
  return (
    weights[0] * fast +
    weights[1] * slow +
    weights[2] * extrapolateTrend(fast, slow, leadWindows)
  );
}

/**
 * Variance of the blend relative to that of one window. Standard deviations are
 * added, which is exact for fully correlated forecasts and an upper bound
 * otherwise. A mean of few windows has at least the variance 1 / age.
 */
export function blendVariance(
  age: number,
  weights: readonly number[],
  leadWindows: number,
): number {
  const ageVariance = 1 / Math.max(age, 1);
  const fast = Math.max(
    FAST_SMOOTHING_FACTOR / (2 - FAST_SMOOTHING_FACTOR),
    ageVariance,
  );
  const slow = Math.max(
    SLOW_SMOOTHING_FACTOR / (2 - SLOW_SMOOTHING_FACTOR),
    ageVariance,
  );
  const extrapolation =
    (FAST_LAG_WINDOWS + leadWindows) / (SLOW_LAG_WINDOWS - FAST_LAG_WINDOWS);
  const trend = (1 + extrapolation) ** 2 * fast + extrapolation ** 2 * slow;
  const deviation =
    weights[0] * Math.sqrt(fast) +
    weights[1] * Math.sqrt(slow) +
    weights[2] * Math.sqrt(trend);
  return deviation * deviation;
}
