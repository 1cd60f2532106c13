/**
 * How often an entry reads the register. Each reading is a call to the store, and
 * a late one costs the more the less time a leaving server allows.
 */
import { REPLACED_GRACE_MS } from "./directory.js";

/** After the store's return servers register again, which is read soon, ms. */
const AFTER_RETURN_MS = 700;
/** How long that goes on: their grace and some readings more, ms. */
const RETURNING_MS = 5000;
/** Shortest time between two readings, whatever the bound, ms. */
const LEAST_MS = 200;

/**
 * Time to the next reading, ms. Within `drainMs`, the time for which a server that
 * leaves may get work, fit two readings and the grace of a replaced life.
 * `sinceReturnMs`: time since the store came back; infinite if it was never away.
 */
export function registerIntervalMs(
  drainMs: number,
  sinceReturnMs: number,
): number {
  const allowedMs = Math.max(LEAST_MS, (drainMs - REPLACED_GRACE_MS) / 2);
  return sinceReturnMs < RETURNING_MS
    ? Math.min(AFTER_RETURN_MS, allowedMs)
    : allowedMs;
}
