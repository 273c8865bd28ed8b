import type { RunnerId } from "../ids/runner-id.ts";

/** A request that has left for a runner and is not over. Times are of the monotonic clock, in ms. */
export interface PendingRequest {
  readonly runner: RunnerId;
  readonly startedAtMs: number;
  /** Silence after which the request speaks against its runner. */
  readonly patienceMs: number;
  /** Whether a dispatcher has placed it. */
  readonly isLeased: boolean;
  /** Whether the head of the answer has come. */
  answered: boolean;
}
