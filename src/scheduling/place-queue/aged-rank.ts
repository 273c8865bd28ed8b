import type { WaitingCall } from "./waiting-call.ts";

/**
 * A call that has waited for so long counts as one rank more important, in ms: little beside what a program can spare at
 * each of its turns. Ranks decide who begins; whoever has begun must not be late for them.
 */
const AGING_STEP_MS = 50;
/** Ranks beyond this are treated alike, so that aging makes up for them before callers give up. */
const MAX_RANK = 8;

/** A call's rank, less what it has gained by waiting. */
export function agedRank({ call, arrivedAtMs }: WaitingCall, nowMs: number): number {
  const ranksGained = Math.floor((nowMs - arrivedAtMs) / AGING_STEP_MS);
  return Math.max(0, Math.min(call.rank, MAX_RANK) - ranksGained);
}
