/** Refusal of a request whose service has no runner that may get it now. */
import { failure, type Refusal } from "../internal.js";
import type { RunnerPool } from "./runner-pool.js";
import type { DirectCall } from "./types.js";

/**
 * Retry delay if a service has no runner, ms: a replacement takes about this
 * long.
 */
const NO_RUNNER_RETRY_AFTER_MS = 500;
/** Retry delay if all runners of a service are evacuated, ms. */
const EVACUATED_RETRY_AFTER_MS = 2000;

/** Undefined if a runner of the service may get the request. */
export function noRunnerRefusal(
  call: DirectCall,
  pool: Pick<RunnerPool, "size" | "isEvacuated" | "restMs">,
): Refusal | undefined {
  const { restMs } = pool;
  if (restMs !== undefined) {
    return {
      error: failure(1222, { pool: call.service }),
      retryAfterMs: Math.ceil(restMs),
    };
  }
  if (pool.size > 0) return undefined;
  if (pool.isEvacuated) {
    return {
      error: failure(1221, { pool: call.service }),
      retryAfterMs: EVACUATED_RETRY_AFTER_MS,
    };
  }
  return {
    error: failure(1209, { pool: call.service }),
    retryAfterMs: NO_RUNNER_RETRY_AFTER_MS,
  };
}
