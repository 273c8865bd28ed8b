import type { RateLimit } from "../../coordination/request-rate/index.ts";
import type { KeyDigest } from "../ids/key-digest.ts";
import type { TenantName } from "../ids/tenant-name.ts";

/** A customer or team that operators allow to use the system. */
export interface Tenant {
  readonly name: TenantName;
  /** Digests of the API keys of the tenant; any of them identifies it. */
  readonly keys: readonly KeyDigest[];
  /** 0 is the most urgent. It takes precedence over the priority of a route. */
  readonly priority: number;
  /** Undefined if the tenant's request rate is not limited. */
  readonly limit: RateLimit | undefined;
}
