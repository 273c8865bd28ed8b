import type { RunnerId } from "../ids/runner-id.ts";
import type { PlaceCall } from "./place-call.ts";
import type { TenantShare } from "./tenant-share.ts";

/** A place that a call holds. Times are of the monotonic clock, in ms. */
export interface Lease {
  readonly lease: number;
  readonly call: PlaceCall;
  readonly runner: RunnerId;
  /** The gateway that it was granted to. */
  readonly holder: string;
  readonly share: TenantShare;
  readonly grantedAtMs: number;
  readonly waitedMs: number;
  /** What the tenant was charged for it. */
  readonly expectedMs: number;
  readonly endsAtMs: number;
}
