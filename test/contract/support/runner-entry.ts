import type { RunnerId } from "../../../src/scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../../src/scheduling/ids/runner-name.ts";
import type { RunnerEntry } from "../../../src/scheduling/runner-balancing/runner-entry.ts";

/** A ready runner of the pool `p`, of which some fields differ. */
export function runnerEntry(id: string, fields: Partial<RunnerEntry> = {}): RunnerEntry {
  return {
    id: id as RunnerId,
    name: id as RunnerName,
    startedAtMs: undefined,
    pool: "p",
    address: "127.0.0.1:1",
    zone: "z",
    slots: 1,
    state: "ready",
    ...fields,
  };
}
