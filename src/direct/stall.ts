/**
 * Detects stalled streams. A connection to a runner may fall silent for good
 * while new ones work: there is no reset, only missing events. Callers give up
 * a stream after two seconds without an event.
 *
 * A group that has lost a rank stalls as a whole, and then no other runner of
 * it does better: moving all of its streams at once would only use up the retry
 * budget. A stream is therefore moved only while others of its service
 * progress, and only if another runner can continue it: a runner that has
 * preempted a stream goes on with it after some time.
 */

/**
 * Time without an event after which a stream counts as stalled, ms: eight slow
 * steps of a group, and half of the time after which callers give up.
 */
const STALL_TIMEOUT_MS = 1000;
/** The service progresses if some stream had an event within this time, ms. */
const SERVICE_ACTIVE_WINDOW_MS = 400;
/** Interval at which a running stream is checked, ms. */
export const STALL_CHECK_INTERVAL_MS = 300;

export function isStalled(
  nowMs: number,
  /** Time of the stream's last event, or of its start. */
  lastEventAtMs: number,
  /** Time of the last event of any stream of the service. */
  serviceLastEventAtMs: number,
): boolean {
  if (nowMs - lastEventAtMs < STALL_TIMEOUT_MS) return false;
  return nowMs - serviceLastEventAtMs < SERVICE_ACTIVE_WINDOW_MS;
}
