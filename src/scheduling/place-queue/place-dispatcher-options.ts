import type { TenantName } from "../ids/tenant-name.ts";
import type { RunnerGroup } from "./runner-group.ts";

/** Options of a `PlaceDispatcher`. */
export interface PlaceDispatcherOptions {
  readonly group: RunnerGroup;
  /** Share of the places that a tenant is entitled to, relative to other tenants. */
  readonly weightOf: (tenant: TenantName | undefined) => number;
  /** Number of the first lease, far from those of other dispatchers: none must mistake another's lease for its own. */
  readonly firstLease: number;
  /** Greatest age of the reports about requests that no dispatcher placed, in ms. */
  readonly maxReportAgeMs: number;
}
