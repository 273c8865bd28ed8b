import type { RunnerId } from "../ids/runner-id.ts";
import type { RunnerEntry } from "./runner-entry.ts";

/** What a choice depends on. */
export interface RunnerCriteria {
  readonly pool: string;
  /** The zone of this node. */
  readonly zone: string;
  /** Runners that this request has met already. */
  readonly excluded: ReadonlySet<RunnerId>;
  /** Runner that holds most of the prompt, if any is known to. */
  readonly preferred: RunnerId | undefined;
  /** Tokens of the prompt; left out where they are not known. */
  readonly promptTokens?: number | undefined;
  readonly nowMs: number;
  /** Breaks ties: a number in [0, 1). */
  readonly sample: number;
  /** Runners that may be chosen; all of the pool when left out. */
  readonly mayTake?: (runner: RunnerEntry) => boolean;
}
