/** Places of a group, and those of them that are free. */
export interface GroupCapacity {
  readonly places: number;
  readonly free: number;
  /** Taken by calls that this dispatcher has not placed. */
  readonly placedByOthers: number;
  /** Runners that get nothing now, since they turned calls away. */
  readonly paused: number;
  /** How many places come free in a ms while all are taken. */
  readonly placesFreedPerMs: number;
}
