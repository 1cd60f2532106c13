/** Limit for the requests that one entry runs at a time in a group. */
export interface RunningLimit {
  /** Number of requests that may run concurrently. */
  readonly limitFor: (slots: number) => number;
}
