/** Rows of figures, which reports print as a table or as JSON. */

export type Figure = string | number;

/** Figures by column name; every row of one report has the same columns. */
export type FigureRow = Readonly<Record<string, Figure>>;

/** Returns the quantile by nearest rank; 0 without values. */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = values.toSorted((left, right) => left - right);
  const index = Math.ceil(fraction * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

/** Rounds to a number of decimals. */
export function rounded(value: number, decimals = 2): number {
  return Number(value.toFixed(decimals));
}

/** Returns a Markdown table with aligned columns. */
export function formatRows(rows: readonly FigureRow[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const cells = [
    columns,
    ...rows.map(row => columns.map(column => String(row[column] ?? ''))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map(line => line[index]?.length ?? 0)),
  );
  const lines = cells.map(line =>
    line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(' | '),
  );
  const separator = widths.map(width => '-'.repeat(width)).join(' | ');
  return [lines[0], separator, ...lines.slice(1)]
    .map(line => `| ${line ?? ''} |`)
    .join('\n');
}
