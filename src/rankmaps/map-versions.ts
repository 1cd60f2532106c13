/**
 * Versions of expert maps. An engine refuses to prepare a version that isn't
 * higher than all that it has had, and to arm one that isn't prepared; it does
 * so on every deployment, whether or not fencing numbers are checked. So a rank
 * that has prepared a higher version can never be armed for a lower one again:
 * that is how a switch is made void at a rank, late orders included.
 *
 * Versions that nobody ever arms are odd, so that whoever finds one prepared
 * knows that nothing is to follow.
 */

/** Versions, and fencing numbers, that one generation of the seat can use. */
export const EACH_GENERATION = 1_000_000;

/** `count`: from 1, new for each map of the generation. */
export function versionOf(generation: number, count: number): number {
  return generation * EACH_GENERATION + 2 * count;
}

/** The lowest version above `version` that nobody ever arms. */
export function voidAbove(version: number): number {
  return version + 1 + (version % 2);
}

export function isVoid(version: number): boolean {
  return version % 2 === 1;
}
