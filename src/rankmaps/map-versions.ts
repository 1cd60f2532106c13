/**
 * Version numbers of expert maps. Whether or not a deployment checks fencing
 * numbers, an engine refuses to prepare a version that isn't higher than every
 * version it has prepared before, and to arm a version that isn't prepared. A
 * rank that has prepared a higher version can therefore never be armed for a
 * lower one again, not even by a delayed order. Preparing a higher version
 * cancels a switch at that rank.
 *
 * Cancellation versions, which are never armed, are odd. Whoever finds one
 * prepared knows that no switch follows.
 *
 * The store may issue the same generations again after it is rolled back to an
 * older copy, so its era forms the high-order part of the number. If one
 * version named two maps, a step could begin with both.
 */

/**
 * Versions and fencing tokens available to one generation of the planner
 * lease.
 */
export const VERSIONS_PER_GENERATION = 1_000_000;
/** Generations available to one era of the store. */
const GENERATIONS_PER_ERA = 1_000_000;

/**
 * Increases with the era, and within an era with the store's own generation.
 */
export function generationAcrossEras(era: number, generation: number): number {
  return era * GENERATIONS_PER_ERA + generation;
}

/** Whether every version of the generation is a distinct safe integer. */
export function hasSafeVersions(era: number, generation: number): boolean {
  const next = generationAcrossEras(era, generation) + 1;
  return (
    generation < GENERATIONS_PER_ERA &&
    next * VERSIONS_PER_GENERATION <= Number.MAX_SAFE_INTEGER
  );
}

/** `count`: starts at 1 and is unique for each map of the generation. */
export function versionOf(generation: number, count: number): number {
  return generation * VERSIONS_PER_GENERATION + 2 * count;
}

/** Versions reserved for cancelling switches. */
const RESERVED_VERSIONS = 1000;
/**
 * Maximum number of maps per generation; the next generation's versions start
 * above them.
 */
export const MAPS_PER_GENERATION =
  VERSIONS_PER_GENERATION / 2 - RESERVED_VERSIONS;

/** The lowest version above `version` that is never armed. */
export function cancellationVersionAbove(version: number): number {
  return version + 1 + (version % 2);
}

export function isCancellationVersion(version: number): boolean {
  return version % 2 === 1;
}
