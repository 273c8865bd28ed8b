import type { PlaceForecast } from "./place-forecast.ts";
import type { PlaceRefusalReason } from "./place-refusal-reason.ts";

/** A call that gets no place. */
export interface PlaceRefused {
  readonly type: "refused";
  /** Time after which a place is likely to be free, in ms. */
  readonly retryAfterMs: number;
  readonly reason: PlaceRefusalReason;
  /** Omitted if no forecast was made. */
  readonly forecast?: PlaceForecast;
}
