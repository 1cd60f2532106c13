/**
 * Types of the shared view of load: what all entries run and hold back in a
 * group of runners, as its planner last summed it up.
 */

/** Requests of one priority in one group. */
export interface PriorityLoad {
  /** 0 is the highest. */
  readonly priority: number;
  readonly running: number;
  readonly waiting: number;
  /** Time for which the oldest waiting request has waited, ms; 0 for none. */
  readonly oldestWaitMs: number;
}

/** What one entry runs and holds back in one group. */
export interface EntryLoad {
  /** Name of the group, as `service.group`. */
  readonly group: string;
  /** Requests that the entry may run concurrently in the group. */
  readonly limit: number;
  readonly priorities: readonly PriorityLoad[];
}

/** What a runner of the group says of itself. */
export interface RunnerLoad {
  /** host:port. */
  readonly address: string;
  readonly running: number;
  readonly waiting: number;
}

/** Sums over all entries from which the planner has heard lately. */
export interface GroupLoad {
  readonly group: string;
  /** Number of these entries, this one included. */
  readonly entries: number;
  /** Sum of their limits, requests. */
  readonly limit: number;
  readonly priorities: readonly PriorityLoad[];
  readonly runners: readonly RunnerLoad[];
}

/**
 * Returns the view of the group, or undefined if none has arrived lately: the
 * entry then decides by itself.
 */
export type ReadGroupLoad = (group: string) => GroupLoad | undefined;
