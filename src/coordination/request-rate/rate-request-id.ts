/** A question that may be asked again: its answer may be lost, or come late. */
export interface RateRequestId {
  readonly client: string;
  /** Rises with each new question of the asker. */
  readonly number: number;
}
