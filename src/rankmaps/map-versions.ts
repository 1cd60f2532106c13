/**
 * Versions of expert maps. An engine refuses to prepare a version that isn't
 * higher than all that it has had, and to arm one that isn't prepared; it does
 * so on every deployment, whether or not fencing numbers are checked. So a rank
 * that has prepared a higher version can never be armed for a lower one again:
 * that is how a switch is made void at a rank, late orders included.
 *
 * Versions that nobody ever arms are odd, so that whoever finds one prepared
 * knows that nothing is to follow.
 *
 * Generations are given out again when the store comes back from an older copy,
 * so its era stands ahead of them: of two maps under one version a step could
 * begin with both.
 */

/** Versions, and fencing numbers, that one generation of the seat can use. */
export const EACH_GENERATION = 1_000_000;
/** Generations that one era can use. */
const EACH_ERA = 1_000_000;

/** Ascends with the era, and within one with the store's own generation. */
export function generationOf(era: number, generation: number): number {
  return era * EACH_ERA + generation;
}

/** Whether all versions of the generation are whole numbers of their own. */
export function isNumberable(era: number, generation: number): boolean {
  const next = generationOf(era, generation) + 1;
  return (
    generation < EACH_ERA && next * EACH_GENERATION <= Number.MAX_SAFE_INTEGER
  );
}

/** `count`: from 1, new for each map of the generation. */
export function versionOf(generation: number, count: number): number {
  return generation * EACH_GENERATION + 2 * count;
}

/** Kept for switches that are called off. */
const SPARE_VERSIONS = 1000;
/** Maps of one generation; the versions of the next one begin behind them. */
export const MAPS_EACH_GENERATION = EACH_GENERATION / 2 - SPARE_VERSIONS;

/** The lowest version above `version` that nobody ever arms. */
export function voidAbove(version: number): number {
  return version + 1 + (version % 2);
}

export function isVoid(version: number): boolean {
  return version % 2 === 1;
}
