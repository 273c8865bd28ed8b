/**
 * Weighted fair queueing between tenants: whoever has used the least place-time for its weight comes next. A tenant that
 * comes back after a while begins where the others are: what it left free is not owed to it. Pure.
 */
import type { TenantName } from "../ids/tenant-name.ts";
import type { TenantShare } from "./tenant-share.ts";

/** See the module's comment. */
export class TenantShares {
  readonly #weightOf: (tenant: TenantName | undefined) => number;
  readonly #shares = new Map<TenantName | undefined, TenantShare>();
  /** Virtual time: where the tenant was that got the last place. */
  #virtualTimeMs = 0;

  /** @param weightOf a positive number for each tenant; undefined stands for all calls without one */
  constructor(weightOf: (tenant: TenantName | undefined) => number) {
    this.#weightOf = weightOf;
  }

  /** A tenant's share, as one more of its calls begins to wait or to hold a place. */
  addCall(tenant: TenantName | undefined): TenantShare {
    const share = this.#shares.get(tenant) ?? this.#addTenant(tenant);
    share.active += 1;
    return share;
  }

  /** A call of the tenant is over, or no longer waits. */
  removeCall(share: TenantShare): void {
    share.active -= 1;
    // What an idle tenant has used more than others still counts until they have caught up.
    if (share.active === 0 && share.usedMs <= this.#virtualTimeMs) this.#shares.delete(share.tenant);
  }

  /** A call of the tenant gets a place, and will probably hold it for so long. */
  charge(share: TenantShare, expectedMs: number): void {
    this.#virtualTimeMs = Math.max(this.#virtualTimeMs, share.usedMs);
    this.adjust(share, expectedMs);
  }

  /** A place was held for longer than expected, or, if negative, for less. */
  adjust(share: TenantShare, byMs: number): void {
    share.usedMs += byMs / share.weight;
  }

  #addTenant(tenant: TenantName | undefined): TenantShare {
    const weight = this.#weightOf(tenant);
    const share = { tenant, weight, usedMs: this.#virtualTimeMs, active: 0, countedCalls: 0 };
    this.#shares.set(tenant, share);
    return share;
  }
}
