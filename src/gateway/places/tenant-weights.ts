/**
 * Computes each tenant's relative share of scarce places from the request limits, which show how large operators consider
 * each tenant to be. A tenant without a limit counts as one of average size.
 */
import type { TenantName } from "../../scheduling/ids/tenant-name.ts";
import type { RouteTable } from "../../scheduling/routing/route-table.ts";

export class TenantWeights {
  readonly #routes: () => RouteTable | undefined;
  #computedFor: RouteTable | undefined;
  #weights: ReadonlyMap<TenantName, number> = new Map();

  constructor(routes: () => RouteTable | undefined) {
    this.#routes = routes;
  }

  /** The weight of a tenant, a positive number: 1 for a tenant of average size, and for calls without a tenant. */
  of(tenant: TenantName | undefined): number {
    const routes = this.#routes();
    if (routes !== this.#computedFor) {
      this.#computedFor = routes;
      this.#weights = computeWeights(routes);
    }
    return tenant === undefined ? 1 : (this.#weights.get(tenant) ?? 1);
  }
}

function computeWeights(routes: RouteTable | undefined): ReadonlyMap<TenantName, number> {
  const limited = (routes?.configuration.tenants ?? []).flatMap(({ name, limit }) => {
    return limit === undefined || limit.perSecond <= 0 ? [] : [{ name, perSecond: limit.perSecond }];
  });
  const sum = limited.reduce((total, { perSecond }) => total + perSecond, 0);
  return new Map(limited.map(({ name, perSecond }) => [name, (perSecond * limited.length) / sum]));
}
