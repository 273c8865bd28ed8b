/** What a node tells the others of its requests at runners. */
export interface NodeReport {
  /** Requests in flight. */
  readonly inFlight: readonly (readonly [runner: string, count: number])[];
  /** Outcomes of the last seconds, of runners at which some requests failed. */
  readonly failing: readonly (readonly [runner: string, successes: number, failures: number])[];
}
