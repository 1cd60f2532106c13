/**
 * Order in which the groups of a service are considered for a request.
 *
 * Used when one group of several is slow, starting or failing while the others
 * are healthy. Each group receives the share of the load that it can serve
 * within the objective, and callers wait or are refused only when the capacity
 * of all groups is exhausted.
 */

/** Load of one group as seen by this entry. */
export interface GroupLoad {
  readonly name: string;
  /** Running requests of this entry in the group. */
  readonly running: number;
  /** Running requests up to which this entry may start another one. */
  readonly limit: number;
  /** All runners of the group refuse; it only receives trial requests. */
  readonly isRefusing: boolean;
}

function utilizationOf({ running, limit }: GroupLoad): number {
  return running / Math.max(1, limit);
}

/**
 * Groups with free capacity for a new request, the least utilized first.
 * Refusing groups come first, because their circuit breaker admits only an
 * occasional trial.
 */
export function orderForNewRequest(
  groups: readonly GroupLoad[],
): readonly GroupLoad[] {
  return groups
    .filter(({ running, limit }) => running < limit)
    .sort(
      (one, other) =>
        Number(other.isRefusing) - Number(one.isRefusing) ||
        utilizationOf(one) - utilizationOf(other),
    );
}

/**
 * Groups for a request that has lost its runner and is still admitted. Refusing
 * groups come last, after those already tried, because a group refuses as a
 * whole.
 */
export function orderForMovedRequest(
  groups: readonly GroupLoad[],
  tried: ReadonlySet<string>,
): readonly GroupLoad[] {
  const wasTried = ({ name }: GroupLoad): number => Number(tried.has(name));
  return groups.toSorted(
    (one, other) =>
      Number(one.isRefusing) - Number(other.isRefusing) ||
      wasTried(one) - wasTried(other) ||
      utilizationOf(one) - utilizationOf(other),
  );
}
