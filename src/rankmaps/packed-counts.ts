/**
 * Counts with one byte each, as multiples of a common unit. Planning compares
 * the demand for experts, to which the smallest counts of a rank matter little.
 */

export interface PackedCounts {
  readonly packedCounts: Buffer;
  /** What the packed counts are multiplied by. */
  readonly countUnit: number;
}

const HIGHEST_PACKED = 255;

export function packCounts(counts: readonly number[]): PackedCounts {
  const highest = counts.reduce((most, count) => Math.max(most, count), 0);
  const countUnit = Math.max(1, highest / HIGHEST_PACKED);
  const packed = counts.map((count) => Math.round(count / countUnit));
  return { packedCounts: Buffer.from(packed), countUnit };
}

export function unpackCounts({
  packedCounts,
  countUnit,
}: PackedCounts): readonly number[] {
  return Array.from(packedCounts, (count) => count * countUnit);
}
