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
}
