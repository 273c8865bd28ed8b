/** How many of the requests that were asked for may go on, and when the others should come back. */
export interface RateAnswer {
  readonly granted: number;
  /** Time until the first of the others may come, in ms. */
  readonly retryAfterMs: number;
  /** How much later each of them comes than the one before, in ms. */
  readonly retryStepMs: number;
}
