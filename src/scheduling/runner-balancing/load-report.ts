import type { RunnerId } from "../ids/runner-id.ts";

/** What a gateway reports to the other gateways about its requests at runners. */
export interface LoadReport {
  /** Number of requests in flight, by runner. */
  readonly inFlight: readonly (readonly [runner: RunnerId, count: number])[];
  /** Number of those requests that were placed by a dispatcher; absent if there are none. */
  readonly leased?: readonly (readonly [runner: RunnerId, count: number])[];
  /** Outcomes of the last seconds, for runners at which some requests failed. */
  readonly failing: readonly (readonly [runner: RunnerId, successes: number, failures: number])[];
  /** Average time of a step at recently used runners, in ms; absent from builds that do not report it. */
  readonly paces?: readonly (readonly [runner: RunnerId, paceMs: number])[];
}
