/**
 * The order in which groups of a service are offered a request.
 *
 * Load: one group of several is slow, opening or broken while the others are
 * well. Each takes the part of the load that it can serve within the objective,
 * and callers wait or are refused only for what is missing in all of them.
 */

/** One group, as far as this entry can tell. */
export interface GroupLoad {
  readonly name: string;
  /** Requests of this entry that run there. */
  readonly running: number;
  /** Requests of this entry that may run there at once. */
  readonly room: number;
  /** All of its runners refuse: it gets nothing but trials. */
  readonly isOut: boolean;
}

function shareTaken({ running, room }: GroupLoad): number {
  return running / Math.max(1, room);
}

/**
 * For a new request: groups that have room, the least taken first. Broken ones
 * come first, since they get no more than a trial now and then.
 */
export function groupsToStartIn(
  groups: readonly GroupLoad[],
): readonly GroupLoad[] {
  return groups
    .filter(({ running, room }) => running < room)
    .sort(
      (one, other) =>
        Number(other.isOut) - Number(one.isOut) ||
        shareTaken(one) - shareTaken(other),
    );
}

/**
 * For a request that has lost its runner and keeps its place: broken groups come
 * last, behind those in which it was tried before, since a group refuses as one.
 */
export function groupsToMoveTo(
  groups: readonly GroupLoad[],
  tried: ReadonlySet<string>,
): readonly GroupLoad[] {
  const wasTried = ({ name }: GroupLoad): number => Number(tried.has(name));
  return groups.toSorted(
    (one, other) =>
      Number(one.isOut) - Number(other.isOut) ||
      wasTried(one) - wasTried(other) ||
      shareTaken(one) - shareTaken(other),
  );
}
