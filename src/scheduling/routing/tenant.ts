import type { RateLimit } from "../../coordination/request-rate/index.ts";
import type { KeyDigest } from "../ids/key-digest.ts";
import type { TenantName } from "../ids/tenant-name.ts";

/** Somebody who may use the system, as operators say. */
export interface Tenant {
  readonly name: TenantName;
  /** Each of these keys speaks for the tenant. */
  readonly keys: readonly KeyDigest[];
  /** 0 is the most urgent; comes before the priority of a route. */
  readonly priority: number;
  /** Undefined where the tenant may send as much as it likes. */
  readonly limit: RateLimit | undefined;
}
