/** Describes a call to admission control. */
import type { AdmissionRequest } from "../internal.js";
import type { RouteTimes } from "./route-times.js";
import type { DirectCall } from "./types.js";

/**
 * Maximum queued work of one entry, tokens. In practice deadlines limit the
 * queue long before.
 */
const MAXIMUM_QUEUED_TOKENS = 1_000_000;

/**
 * Minimum share of the route's objective that a request may wait in the queue,
 * however long responses take to start.
 */
const MINIMUM_WAIT_SHARE_OF_OBJECTIVE = 0.25;

/**
 * Time that a request may wait in the queue while no runner of the service
 * accepts requests, ms, unless its objective allows more. A group that has lost
 * ranks forms again within about a second. A caller that waits for it is served
 * late, whereas a refused one is often lost, because it is on a retry already.
 */
const OUTAGE_QUEUE_WAIT_MS = 1200;

/**
 * Cost of a request without prompt tokens, so that such requests are charged by
 * their number.
 */
const MINIMUM_COST_TOKENS = 1;

export function admissionRequestOf(
  call: DirectCall,
  times: RouteTimes,
  isServiceUnavailable: boolean,
  isReturn: boolean,
): AdmissionRequest {
  const { route, fields, account = "", service } = call;
  return {
    id: call.id,
    account,
    weight: 1,
    pool: service,
    profile: route.name,
    priority: call.priority,
    costTokens: fields.promptTokens + MINIMUM_COST_TOKENS,
    serviceMs: times.durationMsOf(route.name),
    arrivedAtMs: call.arrivedAtMs,
    deadlineAtMs: call.deadlineAtMs,
    queue: {
      maximumTokens: MAXIMUM_QUEUED_TOKENS,
      maximumWaitMs: maximumWaitMs(call, times, isServiceUnavailable),
    },
    concurrency: Number.POSITIVE_INFINITY,
    isReturn,
  };
}

/**
 * While there are more requests than capacity, all that start have waited for
 * as long as they may. A request that waits longer than it can and still be in
 * time takes the place of one that would be in time.
 */
function maximumWaitMs(
  { route }: DirectCall,
  times: RouteTimes,
  isServiceUnavailable: boolean,
): number {
  const waitMs = Math.max(
    route.objectiveMs - times.startMsOf(route.name),
    route.objectiveMs * MINIMUM_WAIT_SHARE_OF_OBJECTIVE,
  );
  return isServiceUnavailable ? Math.max(OUTAGE_QUEUE_WAIT_MS, waitMs) : waitMs;
}
