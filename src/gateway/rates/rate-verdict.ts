/** Whether a tenant's request is admitted. */
export type RateVerdict =
  | { readonly type: "granted" }
  /** The tenant exceeds its limit. */
  | { readonly type: "limited"; readonly retryAfterMs: number }
  /** No owner of the tenant's partition answered in time. */
  | { readonly type: "unavailable"; readonly detail: string };
