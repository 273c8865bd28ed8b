import type { PoolLoad } from "../runner-balancing/pool-load.ts";
import { DEFAULT_HOLDING_MS } from "./default-holding-ms.ts";
import type { PlaceForecast } from "./place-forecast.ts";

/**
 * Forecasts the wait of a call on which no dispatcher decides, from the load that this gateway knows. Requests that are
 * already at the runners go first. Pure.
 *
 * @param averageCallMs how long calls take there on average, in ms; undefined while unknown
 */
export function forecastFromLocalLoad(
  { slots, load }: PoolLoad,
  averageCallMs: number | undefined,
): PlaceForecast {
  const holdingMs = averageCallMs ?? DEFAULT_HOLDING_MS;
  const ahead = Math.max(0, load + 1 - slots);
  return { expectedMs: slots === 0 ? 0 : (ahead * holdingMs) / slots, holdingMs };
}
