/** Types of the limits that runners name for the requests they receive. */

/** A runner's limit for the requests from all entries together. */
export interface RunnerLimit {
  /** Id of the runner's incarnation. */
  readonly runner: string;
  readonly requestsPerSecond: number;
}

/** The limits that an entry has heard of from the runners themselves. */
export interface LimitRecord {
  readonly limits: readonly RunnerLimit[];
  /** Whether the entry shares the rates of cold runners; unknown to old builds. */
  readonly sharesColdRunners?: boolean | undefined;
}

/** A service whose cold runners take only some requests. */
export interface ColdService {
  /** What a cold runner takes from all entries together, requests/s. */
  readonly requestsPerSecond: number;
  /** Time for which a runner is cold after its start, ms. */
  readonly startMs: number;
}
