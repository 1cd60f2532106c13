/** Sums and means of typed arrays. */

export function sum(values: ArrayLike<number>): number {
  let total = 0;
  let index = values.length;
  while (index-- > 0) total += values[index];
  return total;
}

/** The middle value, the upper one of two; 0 of none. */
export function medianOf(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted.at(Math.floor(sorted.length / 2)) ?? 0;
}
