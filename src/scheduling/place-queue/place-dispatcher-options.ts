import type { TenantName } from "../ids/tenant-name.ts";
import type { RunnerGroup } from "./runner-group.ts";

/** What a dispatcher is made of. */
export interface PlaceDispatcherOptions {
  readonly group: RunnerGroup;
  /** How much of the places is a tenant's, relative to others. */
  readonly weightOf: (tenant: TenantName | undefined) => number;
  /** Leases are counted from here on; far from those of other dispatchers, so that none takes another's for its own. */
  readonly firstLease: number;
  /** How old what is told of requests that no dispatcher has placed may be, in ms. */
  readonly maxReportAgeMs: number;
}
