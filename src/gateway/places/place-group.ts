import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";

/** Runners of a pool whose places one dispatcher hands out. */
export interface PlaceGroup {
  readonly index: number;
  readonly runners: readonly RunnerEntry[];
  readonly places: number;
}
