import type { TenantName } from "../ids/tenant-name.ts";

/** A tenant's use of the places. */
export interface TenantShare {
  /** Undefined for all calls without a tenant, which are counted together. */
  readonly tenant: TenantName | undefined;
  /** Share of the places that the tenant is entitled to, relative to other tenants. */
  readonly weight: number;
  /** Time that places were held, divided by the weight, in ms: the virtual time of fair queueing. */
  usedMs: number;
  /** Number of calls that wait or hold a place. */
  active: number;
  /** Calls counted so far by a forecast in progress; 0 otherwise. */
  countedCalls: number;
}
