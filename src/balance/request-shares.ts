/**
 * Distributes request work over the ranks of a group so that expert work and
 * request work together are balanced. Placement within the group and the
 * planner thus assume the same load. Water-filling: the ranks with the least
 * expert time are filled first, up to a common time.
 */

/** Expert work and speed of each rank, before requests are distributed. */
export interface RankWork {
  /** Expert work of each rank per window, in tokens. */
  readonly expertTokens: ArrayLike<number>;
  /** Speed of each rank; 1 is the group's median. */
  readonly speeds: ArrayLike<number>;
}

/** Splits `total` request work over the ranks, in tokens of expert work. */
export function distributeRequests(
  work: RankWork,
  total: number,
): Float64Array {
  const { expertTokens, speeds } = work;
  const order = Array.from({ length: speeds.length }, (_, rank) => rank).sort(
    (a, b) => expertTokens[a] / speeds[a] - expertTokens[b] / speeds[b],
  );
  const level = findLevel(work, order, total);
  return Float64Array.from({ length: speeds.length }, (_, rank) =>
    Math.max(level * speeds[rank] - expertTokens[rank], 0),
  );
}

/** Common time up to which ranks are filled to place all request work. */
function findLevel(
  { expertTokens, speeds }: RankWork,
  order: readonly number[],
  total: number,
): number {
  let tokens = total;
  let speed = 0;
  for (const rank of order) {
    const level = speed > 0 ? tokens / speed : Infinity;
    if (level <= expertTokens[rank] / speeds[rank]) return level;
    tokens += expertTokens[rank];
    speed += speeds[rank];
  }
  return speed > 0 ? tokens / speed : 0;
}

/** Work of each rank over all layers, from the times of `rankTimes`. */
export function expertWork(
  times: Float64Array,
  speeds: ArrayLike<number>,
): Float64Array {
  const ranks = speeds.length;
  const work = new Float64Array(ranks);
  times.forEach((time, index) => {
    work[index % ranks] += time * speeds[index % ranks];
  });
  return work;
}
