import type { WaitingCall } from "./waiting-call.ts";

/** Whether a call goes before another one of the same tenant and rank. */
export function goesBeforeAmongOwn(left: WaitingCall, right: WaitingCall, nowMs: number): boolean {
  if (left.call.hasBegun !== right.call.hasBegun) return left.call.hasBegun;
  const leftInTime = left.latestStartMs >= nowMs;
  if (leftInTime !== right.latestStartMs >= nowMs) return leftInTime;
  if (left.latestStartMs !== right.latestStartMs) return left.latestStartMs < right.latestStartMs;
  return left.lease < right.lease;
}
