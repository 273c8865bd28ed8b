import { agedRank } from "./aged-rank.ts";
import { goesBeforeWithinTenant } from "./goes-before-within-tenant.ts";
import type { WaitingCall } from "./waiting-call.ts";

/** Whether a call goes before another one of any tenant: by aged rank, then by the tenants' shares of the places. */
export function goesBefore(left: WaitingCall, right: WaitingCall, nowMs: number): boolean {
  const leftRank = agedRank(left, nowMs);
  const rightRank = agedRank(right, nowMs);
  if (leftRank !== rightRank) return leftRank < rightRank;
  if (left.share !== right.share && left.share.usedMs !== right.share.usedMs)
    return left.share.usedMs < right.share.usedMs;
  return goesBeforeWithinTenant(left, right, nowMs);
}
