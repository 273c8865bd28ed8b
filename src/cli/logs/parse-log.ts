import type { LogEntry } from "./log-entry.ts";

/** Parses collected log lines. Text that a collector put before the JSON is ignored, and so are lines of other formats. */
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
