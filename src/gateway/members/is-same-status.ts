import type { MemberStatus } from "../gateway-messages.ts";

/** What a gateway may say differently of itself from one moment to the next. */
export type MutableStatus = Pick<MemberStatus, "state" | "storeReachable" | "storeDirect" | "owned">;

/** Whether a gateway says the same of itself as before, but for its headroom, which is no news that others wait for. */
export function isSameStatus(left: MutableStatus, right: MutableStatus): boolean {
  return (
    left.state === right.state &&
    left.storeReachable === right.storeReachable &&
    left.storeDirect === right.storeDirect &&
    isSameOwned(left.owned, right.owned)
  );
}

function isSameOwned(left: MemberStatus["owned"], right: MemberStatus["owned"]): boolean {
  if (left.length !== right.length) return false;
  return left.every(([partition, epoch], index) => {
    const other = right[index];
    return other !== undefined && other[0] === partition && other[1] === epoch;
  });
}
