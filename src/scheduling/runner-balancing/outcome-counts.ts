/** How many requests went well and badly; fractions, since older ones count less. */
export interface OutcomeCounts {
  readonly successes: number;
  readonly failures: number;
}
