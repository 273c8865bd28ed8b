import type { PoolLoad } from "../runner-balancing/pool-load.ts";
import { ASSUMED_HOLDING_MS } from "./assumed-holding.ts";
import type { PlaceForecast } from "./place-forecast.ts";

/**
 * What a gateway expects of a call that no dispatcher decides on, by the load that it knows itself: those that are at the
 * runners go first. Pure.
 *
 * @param usualMs how long calls usually take there, in ms; undefined while that is not known
 */
export function forecastAlone({ slots, load }: PoolLoad, usualMs: number | undefined): PlaceForecast {
  const holdingMs = usualMs ?? ASSUMED_HOLDING_MS;
  const ahead = Math.max(0, load + 1 - slots);
  return { expectedMs: slots === 0 ? 0 : (ahead * holdingMs) / slots, holdingMs };
}
