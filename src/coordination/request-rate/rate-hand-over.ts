/** The state that a limit owner hands over to its successor, as plain data. */
export interface RateHandOver {
  /** Remaining tokens by subject. */
  readonly tokens: readonly (readonly [string, number])[];
  /** For how long the buckets of all other subjects have been filling, in ms; undefined if they are full. */
  readonly filledForMs: number | undefined;
}
