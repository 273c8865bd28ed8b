import { readFile } from "node:fs/promises";
import { requestError } from "../../errors/tulipwheel-error.ts";
import type { LogEntry } from "./log-entry.ts";
import { parseLog } from "./parse-log.ts";

/** Reads files of collected logs. Throws a request error if a file cannot be read. */
export async function readLogs(files: readonly string[]): Promise<LogEntry[]> {
  const texts = await Promise.all(files.map(readLog));
  return texts.flatMap(parseLog);
}

async function readLog(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch {
    throw requestError("not-found", `${file} cannot be read. Name files of collected logs after --logs.`);
  }
}
