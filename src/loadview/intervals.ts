/**
 * How often an entry reports its load, and how long reports and answers count.
 */

/** Interval of an entry with requests in the group, ms. */
export const ACTIVE_INTERVAL_MS = 250;
/**
 * Interval of an entry without requests in the group, and the longest one, ms.
 */
export const IDLE_INTERVAL_MS = 1000;
/** Reports that up to 800 entries together send to one planner. */
const MAXIMUM_REPORTS_PER_SECOND = 800;
const MILLISECONDS_PER_SECOND = 1000;
/** Intervals after which a report or an answer doesn't count any more. */
const VALID_INTERVALS = 3;
/** Share of the interval by which each one is lengthened at random. */
const JITTER_SHARE = 0.1;

/**
 * Interval between reports of an entry with requests in the group, ms;
 * `entries` is the number that send any.
 */
export function activeIntervalMs(entries: number): number {
  const leastMs =
    (entries * MILLISECONDS_PER_SECOND) / MAXIMUM_REPORTS_PER_SECOND;
  return Math.min(IDLE_INTERVAL_MS, Math.max(ACTIVE_INTERVAL_MS, leastMs));
}

/**
 * Keeps entries that start together from sending at the same moments.
 * `random`: uniform in [0, 1).
 */
export function withJitter(intervalMs: number, random: number): number {
  return intervalMs * (1 + JITTER_SHARE * random);
}

/**
 * Time for which a report counts, and the answer to it, ms. `intervalMs` may
 * come from another build.
 */
export function validityMs(intervalMs: number): number {
  const boundedMs = Math.min(intervalMs, IDLE_INTERVAL_MS);
  return VALID_INTERVALS * boundedMs * (1 + JITTER_SHARE);
}
