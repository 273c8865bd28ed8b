/** An answer to a caller that comes from the gateway itself, because no runner's answer can be forwarded. */
export interface ProblemResponse {
  readonly status: number;
  /** The standard identifier of the kind of problem. */
  readonly kind: string;
  readonly detail: string;
  /** Delay after which the caller should retry, in ms. */
  readonly retryAfterMs?: number;
  /** Whether the connection is closed after the answer, since another gateway may be able to serve the request. */
  readonly closesConnection?: boolean;
}
