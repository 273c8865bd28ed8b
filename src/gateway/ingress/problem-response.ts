/** What a caller is told when the system itself answers. */
export interface ProblemResponse {
  readonly status: number;
  /** A standard word for the kind of problem. */
  readonly kind: string;
  readonly detail: string;
  /** When to come back, in ms. */
  readonly retryAfterMs?: number;
  /** Another gateway may do better: the connection ends with the answer. */
  readonly closesConnection?: boolean;
}
