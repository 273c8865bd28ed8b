import type { TenantName } from "../ids/tenant-name.ts";

/** What a tenant has had of the places. */
export interface TenantShare {
  /** Undefined for all calls without a tenant together. */
  readonly tenant: TenantName | undefined;
  /** Part of the places that is the tenant's, relative to those of others. */
  readonly weight: number;
  /** Place-time used by weight, in ms: virtual time of fair queueing. */
  usedMs: number;
  /** Calls that wait, and places that are held. */
  active: number;
  /** Calls that were counted while a forecast is made. */
  countedCalls: number;
}
