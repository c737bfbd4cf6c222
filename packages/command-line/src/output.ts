/**
 * Replaces control characters, so that text from a file or a daemon cannot
 * send commands to the operator's terminal.
 */
export function printable(text: string): string {
  return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, '?');
}

/** Aligns rows in columns; the first row is the header. */
export function formatTable(
  rows: ReadonlyArray<ReadonlyArray<string | number | boolean | null>>,
): string {
  const cells = rows.map(row =>
    row.map(cell => (cell === null ? '-' : printable(String(cell)))),
  );
  const widths: number[] = [];
  for (const row of cells) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return cells
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .map(line => `${line}\n`)
    .join('');
}
