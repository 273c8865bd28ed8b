import type { RunnerEntry } from "./runner-entry.ts";
import type { RunnerHealth } from "./runner-health.ts";
import type { RunnerPace } from "./runner-pace.ts";

/** What a gateway knows about a listed runner. */
export interface RunnerCandidate {
  readonly entry: RunnerEntry;
  /** Outcomes of this gateway's requests to the runner. */
  readonly health: RunnerHealth;
  /** Pace of the runner, as observed by this gateway and others. */
  readonly pace: RunnerPace;
  /** Time until which the runner is avoided, in ms of the monotonic clock. */
  readonly avoidUntilMs: number;
}
