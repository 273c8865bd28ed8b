/** How many requests a tenant may send, through all gateways together. */
export interface RequestLimit {
  readonly perSecond: number;
  /** Requests on top, at once. */
  readonly burst: number;
}
