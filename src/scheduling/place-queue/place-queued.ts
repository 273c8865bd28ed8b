/** A call that waits. The lease is the one that it will get. */
export interface PlaceQueued {
  readonly type: "queued";
  readonly lease: number;
  readonly expectedMs: number;
}
