import type { PlaceForecast } from "./place-forecast.ts";
import type { PlaceRefusalReason } from "./place-refusal-reason.ts";

/** A call that gets no place. */
export interface PlaceRefused {
  readonly type: "refused";
  /** When there is likely to be one, in ms. */
  readonly retryAfterMs: number;
  readonly reason: PlaceRefusalReason;
  /** Left out where no forecast was made. */
  readonly forecast?: PlaceForecast;
}
