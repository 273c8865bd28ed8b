import type { CallRecord, ProgramRecord } from "./records.ts";

/** Returns the program's call in progress: its intent is committed, its outcome is not. */
export function openCallOf(program: ProgramRecord): CallRecord | undefined {
  const last = program.calls.at(-1);
  return last && !last.outcome ? last : undefined;
}
