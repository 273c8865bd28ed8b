/** Counts of the places in a group of runners for which this gateway is the dispatcher. */
export interface DispatchedPlaces {
  readonly places: number;
  readonly leased: number;
  /** Calls that wait for a place. */
  readonly waiting: number;
}
