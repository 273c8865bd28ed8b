/** How many of the wanted requests are granted, and when the refused ones should be retried. */
export interface RateAnswer {
  readonly granted: number;
  /** Time until the first refused request may be retried, in ms. */
  readonly retryAfterMs: number;
  /** Interval between the retries of the refused requests, in ms. */
  readonly retryStepMs: number;
}
