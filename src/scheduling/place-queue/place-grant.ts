import type { RunnerId } from "../ids/runner-id.ts";
import type { TenantName } from "../ids/tenant-name.ts";

/** A place that was handed out. */
export interface PlaceGrant {
  readonly type: "granted";
  readonly runner: RunnerId;
  readonly lease: number;
  /** After this time the lease ends by itself, in ms. */
  readonly leaseMs: number;
  readonly waitedMs: number;
  /** Whose call got a place last before this one, if this one waited. */
  readonly behind?: TenantName | undefined;
}
