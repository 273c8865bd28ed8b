/** Places of a group of runners that this gateway hands out. */
export interface DispatchedPlaces {
  readonly places: number;
  readonly leased: number;
  /** Calls that wait for one. */
  readonly waiting: number;
}
