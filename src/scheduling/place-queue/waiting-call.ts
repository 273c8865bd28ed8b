import type { PlaceCall } from "./place-call.ts";
import type { TenantShare } from "./tenant-share.ts";

/** A call that waits for a place. Times are read from the monotonic clock, in ms. */
export interface WaitingCall {
  readonly call: PlaceCall;
  /** The lease that it will get. */
  readonly lease: number;
  /** The gateway that requested the place. */
  readonly holder: string;
  readonly share: TenantShare;
  readonly arrivedAtMs: number;
  /** Latest start with which it still finishes in time. */
  readonly latestStartAtMs: number;
  /** When it stops waiting. */
  readonly giveUpAtMs: number;
}
