import type { RunnerId } from "../ids/runner-id.ts";
import type { PlaceCall } from "./place-call.ts";
import type { TenantShare } from "./tenant-share.ts";

/** The right of a call to use a place for a limited time. Times are read from the monotonic clock, in ms. */
export interface Lease {
  /** Identifies the lease. */
  readonly lease: number;
  readonly call: PlaceCall;
  readonly runner: RunnerId;
  /** The gateway to which it was granted. */
  readonly holder: string;
  readonly share: TenantShare;
  readonly grantedAtMs: number;
  readonly waitedMs: number;
  /** Expected holding time, which the tenant's share was charged. */
  readonly expectedMs: number;
  readonly endsAtMs: number;
}
