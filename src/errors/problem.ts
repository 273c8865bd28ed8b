/** Whether the request ran: `not-run` is only said when it did not and never will. */
export type ProblemOutcome = "not-run" | "failed" | "unknown";

/** A problem as it travels between processes and, as an RFC 9457 document, to callers. */
export interface Problem {
  /** A kind of `ERROR_KINDS`, for example `budget-exhausted`. */
  readonly kind: string;
  readonly title: string;
  /** HTTP status. */
  readonly status: number;
  readonly outcome: ProblemOutcome;
  /** What happened, with the names and numbers of this case. */
  readonly detail: string;
  /** What the reader can do about it. */
  readonly remedy: string;
  /** Whether the same request may succeed later. */
  readonly retriable: boolean;
  /** When to come back, in ms from now, where waiting helps. */
  readonly retryAfterMs?: number;
}
