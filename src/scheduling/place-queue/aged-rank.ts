import type { WaitingCall } from "./waiting-call.ts";

/**
 * Waiting time after which a call counts as one rank more important, in ms. It is short compared with the delay that a
 * program can afford at each turn: ranks decide which programs start, but must not make a started program late.
 */
const AGING_STEP_MS = 50;
/** Greater ranks count as this one, so that aging makes up for them before the callers give up. */
const MAX_RANK = 8;

/** The rank of a call, improved by the time that it has waited; 0 is the most important. */
export function agedRank({ call, arrivedAtMs }: WaitingCall, nowMs: number): number {
  const ranksGained = Math.floor((nowMs - arrivedAtMs) / AGING_STEP_MS);
  return Math.max(0, Math.min(call.rank, MAX_RANK) - ranksGained);
}
