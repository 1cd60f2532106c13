/** What the parts of the forwarder share. */
import type { ServerResponse } from "node:http";
import type { ApricotdeckError, Emit, Measurements } from "../internal.js";
import type { ColdRunners } from "../limits/cold-runners.js";
import type { RunnerLimits } from "../limits/runner-limits.js";
import type { MemoryBudget } from "../intake/memory-budget.js";
import type { RunnerStatements } from "../membership/runner-statements.js";
import type { SuspectTracker } from "../suspects/suspect-tracker.js";
import type { RequestScheduler } from "./request-scheduler.js";
import type { HeaderCodec } from "./types.js";

export interface ForwarderOptions {
  readonly scheduler: RequestScheduler;
  readonly codec: HeaderCodec;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly suspects: SuspectTracker;
  readonly limits: RunnerLimits;
  readonly coldRunners: Pick<ColdRunners, "onAnswer">;
  readonly statements: Pick<RunnerStatements, "onAnswer">;
  /** Bounds what the entry holds of all responses. */
  readonly budget: MemoryBudget;
  /** Sends an error response for a request that no runner has answered. */
  readonly fail: (
    response: ServerResponse,
    error: ApricotdeckError,
    retryAfterMs: number,
  ) => void;
}

/**
 * Retry delay for refused callers, ms: by then full runners have completed a
 * few requests, and stalled ranks have been given up.
 */
export const REFUSED_RETRY_AFTER_MS = 300;
