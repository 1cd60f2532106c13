/** Plain text tables for the terminal. */

export function renderTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [head, ...rows];
  const widths = head.map((_, column) =>
    Math.max(...lines.map((line) => line[column].length)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(widths[column]))
        .join("  ")
        .trimEnd(),
    )
    .join("\n");
}
