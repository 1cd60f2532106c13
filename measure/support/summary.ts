/** Statistics and table output that the measurements share. */

export function percentile(
  values: readonly number[],
  fraction: number,
): number {
  if (values.length === 0) return 0;
  const sorted = Float64Array.from(values).sort();
  const index = Math.ceil(fraction * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}

export function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Jain's fairness index: 1 if all values are equal, 1/n if one has the total.
 */
export function fairnessIndex(values: readonly number[]): number {
  const total = values.reduce((sum, value) => sum + value, 0);
  const squares = values.reduce((sum, value) => sum + value * value, 0);
  return squares === 0 ? 1 : (total * total) / (values.length * squares);
}

export function round(value: number, digits = 0): number {
  const factor = 10 ** digits;
  return Math.round(value * factor) / factor;
}

export type Row = Readonly<Record<string, string | number>>;

/** Prints the rows as a table with aligned columns. */
export function printTable(title: string, rows: readonly Row[]): void {
  const columns = Object.keys(rows[0] ?? {});
  const cells = [
    columns,
    ...rows.map((row) => columns.map((column) => `${row[column]}`)),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map((line) => line[index].length)),
  );
  console.log(`\n${title}`);
  for (const line of cells) {
    const padded = line.map((cell, index) =>
      index === 0 ? cell.padEnd(widths[index]) : cell.padStart(widths[index]),
    );
    console.log(padded.join("  "));
  }
}
