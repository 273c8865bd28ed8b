import type { RunnerId } from "../ids/runner-id.ts";
import type { RunnerName } from "../ids/runner-name.ts";

/** What the platform's list says of one incarnation of a runner. */
export interface RunnerEntry {
  /** Unique per start of the runner. */
  readonly id: RunnerId;
  /** The name under which the platform lists it. */
  readonly name: RunnerName;
  /** Unix time of its start, in ms, by its own clock; undefined where entries do not tell. */
  readonly startedAtMs: number | undefined;
  readonly pool: string;
  /** IP address and port. */
  readonly address: string;
  readonly zone: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** A draining runner serves what it has and takes nothing new. */
  readonly state: "ready" | "draining";
}
