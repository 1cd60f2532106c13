/** What a runner that names a limit may get from all entries together. */

/** Time in which entries may tell each other of a new limit, ms. */
export const SETTLING_MS = 3000;
/** Length of the windows in which requests are counted, ms. */
export const WINDOW_MS = 4000;
/** Allowed above the limit: a factor, and a number of requests. */
const TOLERANCE_FACTOR = 1.5;
const TOLERANCE_REQUESTS = 5;

const MS_PER_SECOND = 1000;

/** Most requests that the runner may get in a window. */
export function allowedInWindow(requestsPerSecond: number): number {
  const seconds = WINDOW_MS / MS_PER_SECOND;
  return TOLERANCE_FACTOR * requestsPerSecond * seconds + TOLERANCE_REQUESTS;
}

/** Most requests that a cold runner may get in any one second. */
export function allowedWhileCold(requestsPerSecond: number): number {
  return TOLERANCE_FACTOR * requestsPerSecond + TOLERANCE_REQUESTS;
}

/** Bounds by which `allowedWhileCold` counts. */
export const COLD_BOUNDS = {
  overshoot: TOLERANCE_FACTOR,
  tolerance: TOLERANCE_REQUESTS,
} as const;

/** Most requests in any window, by their ascending times. */
export function mostInWindow(
  timesMs: readonly number[],
  windowMs = WINDOW_MS,
): number {
  let most = 0;
  let first = 0;
  timesMs.forEach((atMs, index) => {
    while (timesMs[first] < atMs - windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}
