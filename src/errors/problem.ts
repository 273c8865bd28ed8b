/** Whether the request ran. `not-run` guarantees that it has not run and never will. */
export type ProblemOutcome = "not-run" | "failed" | "unknown";

/** A problem as sent between processes and, as an RFC 9457 document, to callers. */
export interface Problem {
  /** A key of `ERROR_KINDS`, for example `budget-exhausted`. */
  readonly kind: string;
  readonly title: string;
  /** HTTP status. */
  readonly status: number;
  readonly outcome: ProblemOutcome;
  /** What happened, with the names and values of this case. */
  readonly detail: string;
  /** What the caller or operator can do about it. */
  readonly remedy: string;
  /** Whether the same request may succeed later. */
  readonly retriable: boolean;
  /** Time after which to retry, in ms from the response; absent if waiting does not help. */
  readonly retryAfterMs?: number;
}
