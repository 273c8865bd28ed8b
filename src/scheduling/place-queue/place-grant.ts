import type { RunnerId } from "../ids/runner-id.ts";
import type { TenantName } from "../ids/tenant-name.ts";

/** A place that was granted to a call. */
export interface PlaceGrant {
  readonly type: "granted";
  readonly runner: RunnerId;
  readonly lease: number;
  /** Time after which the lease expires, in ms. */
  readonly leaseMs: number;
  readonly waitedMs: number;
  /** Tenant of the call that got a place right before this one, if this one waited. */
  readonly behind?: TenantName | undefined;
}
