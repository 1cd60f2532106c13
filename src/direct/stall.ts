/**
 * When a stream is taken for stalled. A connection to a runner may fall silent
 * for good while new ones work: no reset comes, and only the missing events
 * show it. Callers give a stream up after two seconds without one.
 *
 * A group whose rank is gone stalls as a whole, and then no other runner does
 * better; moving all of its streams at once would only spend the allowance for
 * repeats. So a stream is moved only while others of its service go on.
 */

/** Without an event for so long, ms: eight slow passes, half of what callers wait. */
const STALLED_MS = 1000;
/** The service goes on when some stream had an event within this time, ms. */
const FRESH_MS = 400;
/** Between two looks at a running stream, ms. */
export const STALL_LOOK_MS = 300;

export function isStalled(
  nowMs: number,
  /** Last event of the stream, or its start. */
  lastEventAtMs: number,
  /** Last event of any stream of the service. */
  serviceEventAtMs: number,
): boolean {
  if (nowMs - lastEventAtMs < STALLED_MS) return false;
  return nowMs - serviceEventAtMs < FRESH_MS;
}
