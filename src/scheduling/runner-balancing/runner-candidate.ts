import type { RunnerEntry } from "./runner-entry.ts";
import type { RunnerHealth } from "./runner-health.ts";
import type { RunnerPace } from "./runner-pace.ts";

/** What a node knows of a runner of its list. */
export interface RunnerCandidate {
  readonly entry: RunnerEntry;
  /** What this node has met there. */
  readonly health: RunnerHealth;
  /** How fast it is, by what this node and others have seen. */
  readonly pace: RunnerPace;
  /** Until when it is passed over, in ms of the monotonic clock. */
  readonly avoidUntilMs: number;
}
