import type { RunnerId } from "../ids/runner-id.ts";
import type { RunnerName } from "../ids/runner-name.ts";
import type { SoftwareVersion } from "../ids/software-version.ts";

/** Entry of the platform's list for one start of a runner. */
export interface RunnerEntry {
  /** Unique for each start of the runner. */
  readonly id: RunnerId;
  /** The name under which the platform lists the runner. */
  readonly name: RunnerName;
  /** Unix time of the start in ms, by the runner's own clock; undefined if the entry does not say. */
  readonly startedAtMs: number | undefined;
  readonly pool: string;
  /** IP address and port. */
  readonly address: string;
  readonly zone: string;
  /** Version of the software that this start runs. */
  readonly version: SoftwareVersion;
  /** Number of requests that the runner processes at once. */
  readonly slots: number;
  /** A draining runner completes the requests it has and accepts no new ones. */
  readonly state: "ready" | "draining";
}
