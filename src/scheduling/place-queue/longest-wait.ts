import type { PlaceCall } from "./place-call.ts";

/**
 * How long a call may wait for a place and still finish in time, in ms; negative if it cannot. Pure.
 *
 * @param holdingMs how long calls of its route hold their places
 */
export function longestWaitMs(
  { patienceMs, leftMs = patienceMs }: Pick<PlaceCall, "patienceMs" | "leftMs">,
  holdingMs: number,
): number {
  return Math.min(patienceMs, leftMs - holdingMs);
}
