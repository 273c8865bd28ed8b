/** A place that is given back, or a call that no longer waits for one. */
export interface ReturnedPlace {
  readonly lease: number;
  /** How long the call held the place, in ms; 0 when it was not used. */
  readonly heldMs: number;
  /** Whether the runner turned the call away, or could not be reached. */
  readonly turnedAway: boolean;
}
