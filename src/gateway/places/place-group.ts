import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";

/** The runners of a pool whose places the same dispatcher hands out. */
export interface PlaceGroup {
  readonly index: number;
  readonly runners: readonly RunnerEntry[];
  readonly places: number;
}
