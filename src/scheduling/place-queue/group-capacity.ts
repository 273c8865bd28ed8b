/** Places of a group of runners, and how many of them are free. */
export interface GroupCapacity {
  readonly places: number;
  readonly free: number;
  /** Taken by calls that this dispatcher did not place. */
  readonly placedByOthers: number;
  /** Runners that get no calls for now, since they rejected some. */
  readonly paused: number;
  /** How many places become free per ms while all are taken. */
  readonly placesFreedPerMs: number;
}
