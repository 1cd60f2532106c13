/**
 * How often an entry reads the register. Each reading is a call to the store;
 * the shorter the time that a leaving server allows, the more harm a late
 * reading does.
 */
import { REPLACEMENT_GRACE_MS } from "./directory.js";

/** Interval while servers register again after an outage of the store, ms. */
const RECOVERY_INTERVAL_MS = 700;
/**
 * How long that interval applies: the grace period of the servers plus some
 * readings, ms.
 */
const RECOVERY_PERIOD_MS = 5000;
const MINIMUM_INTERVAL_MS = 200;

/**
 * Time to the next reading, ms. Two readings and the grace period of a replaced
 * incarnation fit into `drainMs`, the time for which a leaving server may still
 * get requests. `sinceOutageMs`: time since the end of the last outage;
 * infinite if there was none.
 */
export function registerIntervalMs(
  drainMs: number,
  sinceOutageMs: number,
): number {
  const allowedMs = Math.max(
    MINIMUM_INTERVAL_MS,
    (drainMs - REPLACEMENT_GRACE_MS) / 2,
  );
  return sinceOutageMs < RECOVERY_PERIOD_MS
    ? Math.min(RECOVERY_INTERVAL_MS, allowedMs)
    : allowedMs;
}
