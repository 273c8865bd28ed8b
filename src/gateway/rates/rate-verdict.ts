/** Whether a request of a tenant may go on. */
export type RateVerdict =
  | { readonly type: "granted" }
  /** The tenant sends more than its limit. */
  | { readonly type: "limited"; readonly retryAfterMs: number }
  /** Nobody could be asked in time. */
  | { readonly type: "unavailable"; readonly detail: string };
