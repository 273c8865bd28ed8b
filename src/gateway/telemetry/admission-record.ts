/** Answer of the owner of a program's partition, or why the owner could not be asked. */
export interface AdmissionRecord {
  readonly partition: number;
  readonly owner: string | undefined;
  readonly answer: string;
  /** The turn that this one continues. */
  readonly previousTurn?: string;
  /** Tokens counted as spent; set only if they exhaust the budget. */
  readonly spentTokens?: number;
  /** For a program's first turn: requests at the runners, as a share of their places, when the turn was decided. */
  readonly occupancy?: number;
  /** Time until the answer, in ms. */
  readonly elapsedMs: number;
}
