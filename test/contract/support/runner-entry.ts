import type { RunnerId } from "../../../src/scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../../src/scheduling/ids/runner-name.ts";
import type { SoftwareVersion } from "../../../src/scheduling/ids/software-version.ts";
import type { RunnerEntry } from "../../../src/scheduling/runner-balancing/runner-entry.ts";

/** Returns the entry of a ready runner in the pool `p`; `fields` overrides the defaults. */
export function runnerEntry(id: string, fields: Partial<RunnerEntry> = {}): RunnerEntry {
  return {
    id: id as RunnerId,
    name: id as RunnerName,
    startedAtMs: undefined,
    pool: "p",
    address: "127.0.0.1:1",
    zone: "z",
    version: "v1" as SoftwareVersion,
    slots: 1,
    state: "ready",
    ...fields,
  };
}
