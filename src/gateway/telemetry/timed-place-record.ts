import type { PlaceRecord } from "./place-record.ts";

/** Result of a request for a place, with its time within the call. */
export interface TimedPlaceRecord extends PlaceRecord {
  /** Time from the arrival of the call until it asked for the place, in whole ms. */
  readonly atMs: number;
}
