/**
 * Weighted fair queueing between tenants: the tenant that has held places for the least time, relative to its weight,
 * comes next. A tenant that returns after a while starts level with the others: it gets no credit for the places that it
 * did not use. No I/O.
 */
import type { TenantName } from "../ids/tenant-name.ts";
import type { TenantShare } from "./tenant-share.ts";

/** The shares of tenants with calls, and of idle tenants that have used more than the others. */
export class TenantShares {
  readonly #weightOf: (tenant: TenantName | undefined) => number;
  readonly #shares = new Map<TenantName | undefined, TenantShare>();
  /** Virtual time: the most that a tenant had used when it got a place. */
  #virtualTimeMs = 0;

  /** @param weightOf a positive number for each tenant; undefined stands for all calls without one */
  constructor(weightOf: (tenant: TenantName | undefined) => number) {
    this.#weightOf = weightOf;
  }

  /** Counts one more call of a tenant, which waits or holds a place, and returns the tenant's share. */
  addCall(tenant: TenantName | undefined): TenantShare {
    const share = this.#shares.get(tenant) ?? this.#addTenant(tenant);
    share.active += 1;
    return share;
  }

  /** Counts one call less, which has ended or no longer waits. */
  removeCall(share: TenantShare): void {
    share.active -= 1;
    // If an idle tenant has used more than the others, its share is kept until they have caught up.
    if (share.active === 0 && share.usedMs <= this.#virtualTimeMs) this.#shares.delete(share.tenant);
  }

  /** Charges a tenant for a new place with the time for which it is expected to be held. */
  charge(share: TenantShare, expectedMs: number): void {
    this.#virtualTimeMs = Math.max(this.#virtualTimeMs, share.usedMs);
    this.adjust(share, expectedMs);
  }

  /** Corrects a charge by the difference to the expected time; negative if the place was held for less. */
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
