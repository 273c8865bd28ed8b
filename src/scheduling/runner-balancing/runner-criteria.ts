import type { RunnerId } from "../ids/runner-id.ts";
import type { RunnerEntry } from "./runner-entry.ts";

/** What the choice of a runner for a request depends on. */
export interface RunnerCriteria {
  readonly pool: string;
  /** The zone of this gateway. */
  readonly zone: string;
  /** Runners that must not be chosen, for example because the request was already sent there. */
  readonly excluded: ReadonlySet<RunnerId>;
  /** The runner that has most of the prompt cached, if known. */
  readonly preferred: RunnerId | undefined;
  /** Number of tokens in the prompt; absent if not known. */
  readonly promptTokens?: number | undefined;
  readonly nowMs: number;
  /** Random number in [0, 1) that breaks ties. */
  readonly sample: number;
  /** Whether a runner may be chosen; if absent, every ready runner of the pool may. */
  readonly mayTake?: (runner: RunnerEntry) => boolean;
}
