import type { PlaceRecord } from "./place-record.ts";

/** What came of a question for a place, within its call. */
export interface TimedPlaceRecord extends PlaceRecord {
  /** Since the call arrived until it asked, in whole ms. */
  readonly atMs: number;
}
