/** A request that counts against its subject's limit. */
export interface RatedRequest {
  /** The piece of work that it belongs to; undefined if it stands alone. */
  readonly work: string | undefined;
  /** Whether its sender shows that the work has begun. */
  readonly goesOn: boolean;
}
