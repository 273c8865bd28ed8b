/** A place that is released, or a call that no longer waits for one. */
export interface ReturnedPlace {
  readonly lease: number;
  /** How long the call held the place, in ms; 0 if it did not use it. */
  readonly heldMs: number;
  /** Whether the runner rejected the call or could not be reached. */
  readonly turnedAway: boolean;
}
