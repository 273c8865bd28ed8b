import type { WaitingCall } from "./waiting-call.ts";

/**
 * Whether a call goes before another one of the same tenant and rank: calls of programs that have begun go first, then
 * calls that can still finish in time, then the earliest latest start, then the oldest request.
 */
export function goesBeforeWithinTenant(left: WaitingCall, right: WaitingCall, nowMs: number): boolean {
  if (left.call.hasBegun !== right.call.hasBegun) return left.call.hasBegun;
  const isLeftInTime = left.latestStartAtMs >= nowMs;
  if (isLeftInTime !== right.latestStartAtMs >= nowMs) return isLeftInTime;
  if (left.latestStartAtMs !== right.latestStartAtMs) return left.latestStartAtMs < right.latestStartAtMs;
  return left.lease < right.lease;
}
