/**
 * Where new requests of a group should go so that expert work and request
 * work level out together: placement within the group and the planner see the
 * same load. The request work is poured onto the ranks whose expert work
 * leaves them the most time, until all take equally long.
 */
export interface RankWork {
  /** Expert work of each rank a window, in tokens. */
  readonly expertTokens: ArrayLike<number>;
  readonly speeds: ArrayLike<number>;
}

/** Request work of each rank, of `total` in all, in tokens of expert work. */
export function levelRequests(work: RankWork, total: number): Float64Array {
  const { expertTokens, speeds } = work;
  const order = Array.from({ length: speeds.length }, (_, rank) => rank).sort(
    (a, b) => expertTokens[a] / speeds[a] - expertTokens[b] / speeds[b],
  );
  const level = findLevel(work, order, total);
  return Float64Array.from({ length: speeds.length }, (_, rank) =>
    Math.max(level * speeds[rank] - expertTokens[rank], 0),
  );
}

/** Time at which the ranks below it have taken all of the request work. */
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

/** Work of each rank over all layers, from its times of `rankTimes`. */
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
