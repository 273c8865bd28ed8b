import type { CallRecord, ProgramRecord } from "./records.ts";

/** The call whose intent is committed and whose end is not. */
export function openCallOf(program: ProgramRecord): CallRecord | undefined {
  const last = program.calls.at(-1);
  return last && !last.outcome ? last : undefined;
}
