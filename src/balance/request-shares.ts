/**
 * Where new requests of a group should go so that expert work and request
 * work level out together: placement within the group and the planner see the
 * same load. The request work is poured onto the ranks whose expert work
 * leaves them the most time, until all take equally long.
 */
import { sum } from "./numbers.js";

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

/** Expert work of each rank over all layers, from `rankTimes`. */
export function expertWork(
  times: Float64Array,
  speeds: ArrayLike<number>,
  requestTokens: ArrayLike<number>,
): Float64Array {
  const ranks = speeds.length;
  const work = new Float64Array(ranks);
  times.forEach((time, index) => {
    work[index % ranks] += time * speeds[index % ranks];
  });
  return work.map((tokens, rank) => tokens - requestTokens[rank]);
}

/** Even request work, for a group whose placement doesn't know of experts. */
export function evenRequests(ranks: number, total: number): Float64Array {
  return new Float64Array(ranks).fill(total / ranks);
}

/** Largest difference between two shares, over their mean. */
export function shareDistance(
  a: ArrayLike<number>,
  b: ArrayLike<number>,
): number {
  const mean = sum(a) / Math.max(a.length, 1);
  let largest = 0;
  for (let rank = 0; rank < a.length; rank++) {
    largest = Math.max(largest, Math.abs(a[rank] - b[rank]));
  }
  return mean > 0 ? largest / mean : 0;
}
