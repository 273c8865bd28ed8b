/** What an owner of limits leaves to the next one, as plain data. */
export interface RateHandOver {
  /** Tokens left, by subject. */
  readonly tokens: readonly (readonly [string, number])[];
  /** How long the buckets of all other subjects have been filling, in ms; undefined if they are full. */
  readonly filledForMs: number | undefined;
}
