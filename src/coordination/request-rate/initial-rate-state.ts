/** The state with which a limit owner begins. */
export interface InitialRateState {
  /** Tokens by subject, as handed over by the previous owner. */
  readonly tokens: ReadonlyMap<string, number>;
  /** Time at which these token counts applied, in ms of the monotonic clock. */
  readonly tokensAtMs: number;
  /**
   * Time from which the buckets of all other subjects fill, in ms of the monotonic clock; they start with the credit.
   * Undefined if they are full. It is in the future as long as the previous owner may still admit requests.
   */
  readonly fillsFromMs: number | undefined;
}
