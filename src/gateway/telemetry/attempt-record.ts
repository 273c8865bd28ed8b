/** One try at a runner. */
export interface AttemptRecord {
  readonly runner: string;
  /** Requests in flight at the runner when it was chosen, as far as known. */
  readonly load: number;
  /** Part of the requests of the last seconds that failed there, 0 to 1. */
  readonly failureRate: number;
  /** In how many ms it was expected to be over; left out where runners are chosen by load. */
  readonly expectedMs?: number;
  /** Since the call arrived, in ms. */
  readonly atMs: number;
  /** How long the try took, in ms; undefined while it goes on. */
  elapsedMs?: number;
  /** Why it gave no answer. */
  failure?: string;
}
