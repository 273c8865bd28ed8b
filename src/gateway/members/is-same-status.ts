import type { MemberStatus } from "../gateway-messages.ts";

/** The fields of a gateway's status that can change while it runs, without its headroom. */
export type MutableStatus = Pick<MemberStatus, "state" | "storeReachable" | "storeDirect" | "owned">;

/** Returns whether two statuses of a gateway are equal. Ignores the headroom, whose changes are not urgent for others. */
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
