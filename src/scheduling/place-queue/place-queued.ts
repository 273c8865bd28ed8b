/** A call that waits; the lease is the one that it will have. */
export interface PlaceQueued {
  readonly type: "queued";
  readonly lease: number;
  readonly expectedMs: number;
}
