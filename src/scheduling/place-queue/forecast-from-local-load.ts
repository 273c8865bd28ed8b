import type { PoolLoad } from "../runner-board/pool-load.ts";
import { DEFAULT_HOLDING_MS } from "./default-holding-ms.ts";
import type { PlaceForecast } from "./place-forecast.ts";

/**
 * What a gateway expects of a call that no dispatcher decides on, by the load that it knows itself: those that are at the
 * runners go first. Pure.
 *
 * @param averageCallMs how long calls usually take there, in ms; undefined while that is not known
 */
export function forecastFromLocalLoad(
  { slots, load }: PoolLoad,
  averageCallMs: number | undefined,
): PlaceForecast {
  const holdingMs = averageCallMs ?? DEFAULT_HOLDING_MS;
  const ahead = Math.max(0, load + 1 - slots);
  return { expectedMs: slots === 0 ? 0 : (ahead * holdingMs) / slots, holdingMs };
}
