/** What an owner of limits begins with. */
export interface InitialRateState {
  /** Tokens of subjects, as the owner before has handed them over. */
  readonly tokens: ReadonlyMap<string, number>;
  /** Of that moment, in ms of the monotonic clock. */
  readonly tokensAtMs: number;
  /**
   * Since when the buckets of all other subjects fill, after they began with the credit, in ms of the monotonic clock;
   * undefined if they are full. In the future as long as the owner before may still admit requests.
   */
  readonly fillsFromMs: number | undefined;
}
