/** Sums, means and medians of number arrays. */

export function sum(values: ArrayLike<number>): number {
  let total = 0;
  let index = values.length;
  while (index-- > 0) total += values[index];
  return total;
}

/** Median; the upper of two middle values, and 0 for an empty array. */
export function medianOf(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted.at(Math.floor(sorted.length / 2)) ?? 0;
}

/** Mean of the non-negative values in a range; 0 if there are none. */
export function meanOfKnown(
  values: ArrayLike<number>,
  first: number,
  end: number,
): number {
  let total = 0;
  let known = 0;
  for (let index = first; index < end; index++) {
    if (values[index] < 0) continue;
    total += values[index];
    known++;
  }
  return known > 0 ? total / known : 0;
}

export function sumOfSquares(values: Float64Array): number {
  return values.reduce((total, value) => total + value * value, 0);
}

export function squaredDistance(a: Float64Array, b: Float64Array): number {
  let total = 0;
  for (let index = 0; index < a.length; index++) {
    const difference = a[index] - b[index];
    total += difference * difference;
  }
  return total;
}
