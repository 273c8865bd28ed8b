/** How far the admitted requests of a subject may exceed its limit, in any window of this length. */
export interface RateTolerance {
  readonly windowMs: number;
  /** Excess as a fraction of what the limit allows in a window. */
  readonly overage: number;
  /** Additional requests on top of that. */
  readonly slack: number;
}
