/**
 * Position of a proposed entry in the log. The proposal is committed once an entry with this index and term is
 * applied.
 */
export interface ProposedAt {
  readonly index: number;
  readonly term: number;
}
