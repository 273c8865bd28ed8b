import type { RunnerId } from "../ids/runner-id.ts";

/** A request that was sent to a runner and is not complete. Times are of the monotonic clock, in ms. */
export interface PendingRequest {
  readonly runner: RunnerId;
  readonly startedAtMs: number;
  /** Time without an answer after which the request counts as a failure of its runner. */
  readonly patienceMs: number;
  /** Whether a dispatcher placed the request. */
  readonly isLeased: boolean;
  /** Whether the headers of the answer have arrived. */
  answered: boolean;
}
