/** Numbers of successful and failed requests. They are fractional, because older requests count less. */
export interface OutcomeCounts {
  readonly successes: number;
  readonly failures: number;
}
