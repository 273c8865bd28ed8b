/** How far above their limits the requests of a subject may be, in any window of this length. */
export interface RateTolerance {
  readonly windowMs: number;
  /** As a part of what the limit allows in a window. */
  readonly overage: number;
  /** Requests on top of that. */
  readonly slack: number;
}
