/** Which of two calls that wait gets a place first. Pure. */
import type { WaitingCall } from "./waiting-call.ts";

/**
 * A call that has waited for so long counts as one rank more important, in ms: little beside what a program can spare at
 * each of its turns. Ranks decide who begins; whoever has begun must not be late for them.
 */
const AGING_MS = 50;
/** Ranks beyond this are treated alike, so that aging makes up for them before callers give up. */
const MOST_RANKS = 8;

/** A call's rank, less what it has gained by waiting. */
export function agedRank({ call, arrivedAtMs }: WaitingCall, nowMs: number): number {
  const gained = Math.floor((nowMs - arrivedAtMs) / AGING_MS);
  return Math.max(0, Math.min(call.rank, MOST_RANKS) - gained);
}

/** Whether a call goes before another one, of any tenant. */
export function goesBefore(left: WaitingCall, right: WaitingCall, nowMs: number): boolean {
  const leftRank = agedRank(left, nowMs);
  const rightRank = agedRank(right, nowMs);
  if (leftRank !== rightRank) return leftRank < rightRank;
  if (left.share !== right.share && left.share.usedMs !== right.share.usedMs)
    return left.share.usedMs < right.share.usedMs;
  return goesBeforeAmongOwn(left, right, nowMs);
}

/** Whether a call goes before another one of the same tenant and rank. */
export function goesBeforeAmongOwn(left: WaitingCall, right: WaitingCall, nowMs: number): boolean {
  if (left.call.hasBegun !== right.call.hasBegun) return left.call.hasBegun;
  const leftInTime = left.latestStartMs >= nowMs;
  if (leftInTime !== right.latestStartMs >= nowMs) return leftInTime;
  if (left.latestStartMs !== right.latestStartMs) return left.latestStartMs < right.latestStartMs;
  return left.lease < right.lease;
}
