/** Where a proposed entry stands in the journal; committed once an entry with both is applied. */
export interface ProposedAt {
  readonly index: number;
  readonly term: number;
}
