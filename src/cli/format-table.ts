/** Formats rows as a text table with aligned columns and a header. */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const all = [header, ...rows];
  const widths = header.map((_, column) => Math.max(...all.map((row) => (row[column] ?? "").length)));
  const lines = all.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join("  ")
      .trimEnd(),
  );
  return lines.join("\n");
}

/** Formats a point in time as ISO 8601. */
export function formatTime(atMs: number): string {
  return new Date(atMs).toISOString();
}
