/** Answer of the owner of a tenant's rate limit, or why the owner could not be asked. */
export interface RateRecord {
  readonly partition: number;
  readonly owner: string | undefined;
  readonly verdict: string;
  /** Time from the arrival of the call until the owner was asked, in whole ms. */
  readonly atMs: number;
  /** Time until the answer, in whole ms. */
  readonly elapsedMs: number;
}
