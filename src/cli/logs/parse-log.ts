import type { LogEntry } from "./log-entry.ts";

/** Reads collected lines; whatever a collector has put before the JSON is passed over, and so are other lines. */
export function parseLog(text: string): LogEntry[] {
  return text.split("\n").flatMap((line) => parseLine(line) ?? []);
}

function parseLine(line: string): LogEntry | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    const entry = JSON.parse(line.slice(start)) as Partial<LogEntry>;
    const isEntry = typeof entry.time === "number" && typeof entry.msg === "string" && "node" in entry;
    return isEntry ? (entry as LogEntry) : undefined;
  } catch {
    return undefined;
  }
}
