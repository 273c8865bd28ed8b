import type { PlaceCall } from "./place-call.ts";
import type { TenantShare } from "./tenant-share.ts";

/** A call that waits for a place. Times are of the monotonic clock, in ms. */
export interface WaitingCall {
  readonly call: PlaceCall;
  /** The lease that it will have. */
  readonly lease: number;
  /** The gateway that asks. */
  readonly holder: string;
  readonly share: TenantShare;
  readonly arrivedAtMs: number;
  /** Until when it can begin and still be over in time. */
  readonly latestStartAtMs: number;
  /** When it stops waiting. */
  readonly giveUpAtMs: number;
}
