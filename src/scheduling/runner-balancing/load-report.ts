import type { RunnerId } from "../ids/runner-id.ts";

/** What a node tells the others of its requests at runners. */
export interface LoadReport {
  /** Requests in flight. */
  readonly inFlight: readonly (readonly [runner: RunnerId, count: number])[];
  /** Those of them that a dispatcher has placed; left out where there are none. */
  readonly leased?: readonly (readonly [runner: RunnerId, count: number])[];
  /** Outcomes of the last seconds, of runners at which some requests failed. */
  readonly failing: readonly (readonly [runner: RunnerId, successes: number, failures: number])[];
  /** Average time of a step of the runners used lately, in ms; left out by builds that do not tell. */
  readonly paces?: readonly (readonly [runner: RunnerId, paceMs: number])[];
}
