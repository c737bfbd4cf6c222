/**
 * Replaces control characters with `?`, so that text from a file or a daemon
 * cannot send escape sequences to the operator's terminal.
 */
export function replaceControlCharacters(text: string): string {
  return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, '?');
}

/** Formats rows as aligned columns; the first row is the header. */
export function formatTable(
  rows: ReadonlyArray<ReadonlyArray<string | number | boolean | null>>,
): string {
  const cells = rows.map(row =>
    row.map(cell =>
      cell === null ? '-' : replaceControlCharacters(String(cell)),
    ),
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
