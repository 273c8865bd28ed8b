/** What the owner of the tenant's limit said, or why it could not be asked. */
export interface RateRecord {
  readonly partition: number;
  readonly owner: string | undefined;
  readonly verdict: string;
  /** Since the call arrived until it was asked, in whole ms. */
  readonly atMs: number;
  /** How long the answer took, in whole ms. */
  readonly elapsedMs: number;
}
