import type { KeyDigest } from "../ids/key-digest.ts";
import type { Route, RoutingConfiguration, RunnerPool } from "./routing-configuration.ts";
import type { Tenant } from "./tenant.ts";

/** A caller takes a stream up in its own time, which ends soon after that of the route. */
const STREAM_LIFETIME_FACTOR = 2;
const MIN_STREAM_LIFETIME_MS = 10_000;

/** Finds the route of a request: the one with the longest matching path prefix among the routes of its host. */
export class RouteTable {
  readonly configuration: RoutingConfiguration;
  /** How long after its beginning a stream may still be taken up by its caller, in ms. */
  readonly streamLifetimeMs: number;
  readonly #byHost = new Map<string, Route[]>();
  readonly #pools: ReadonlyMap<string, RunnerPool>;
  readonly #tenants = new Map<KeyDigest, Tenant>();
  /** The distinct priorities of tenants and of streaming routes, the most urgent first. */
  readonly #tenantPriorities: readonly number[];
  readonly #routePriorities: readonly number[];

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
    this.#pools = new Map(configuration.pools.map((pool) => [pool.name, pool]));
    for (const route of configuration.routes) this.#add(route);
    for (const tenant of configuration.tenants ?? [])
      for (const key of tenant.keys) this.#tenants.set(key, tenant);
    const { routes: all, tenants = [] } = configuration;
    this.#tenantPriorities = sortedPriorities(tenants);
    const streaming = all.filter(({ kind }) => kind === "streaming");
    this.#routePriorities = sortedPriorities(streaming);
    const longestMs = Math.max(0, ...streaming.map(({ timeoutMs }) => timeoutMs));
    this.streamLifetimeMs = Math.max(MIN_STREAM_LIFETIME_MS, STREAM_LIFETIME_FACTOR * longestMs);
    for (const routes of this.#byHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
  }

  /**
   * The rank of a request among all possible requests; 0 is the most important. Requests are ranked by the priority of the
   * tenant, then by that of the route. Only the order of the priorities matters, not the distances between them.
   */
  rankOf(route: Route, tenant: Tenant | undefined): number {
    if (!tenant) return route.priority;
    const tenantRank = this.#tenantPriorities.indexOf(tenant.priority);
    const routeRank = Math.max(0, this.#routePriorities.indexOf(route.priority));
    return tenantRank * this.#routePriorities.length + routeRank;
  }

  /** Returns the route of a request; undefined if the configuration has none. */
  find(host: string, path: string): Route | undefined {
    return this.#byHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Whether callers of a route must present an API key. */
  needsKey(route: Route): boolean {
    return this.configuration.tenants !== undefined && !route.isPublic;
  }

  /** Returns the tenant that a key belongs to; undefined if there is none. */
  tenantOf(key: KeyDigest): Tenant | undefined {
    return this.#tenants.get(key);
  }

  /** Returns the pool with a name. */
  pool(name: string): RunnerPool | undefined {
    return this.#pools.get(name);
  }

  #add(route: Route): void {
    const routes = this.#byHost.get(route.host);
    if (routes) routes.push(route);
    else this.#byHost.set(route.host, [route]);
  }
}

function sortedPriorities(items: readonly { readonly priority: number }[]): number[] {
  return [...new Set(items.map(({ priority }) => priority))].sort((left, right) => left - right);
}

/**
 * Chooses the pool for a request of a route, in proportion to the weights of its shares. Requests with the same sample go to
 * the same pool, so that a program's prompts stay where they are cached.
 *
 * @param sample a number in [0, 1)
 */
export function choosePool(route: Route, sample: number): string | undefined {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let remainingWeight = sample * total;
  for (const share of route.shares) {
    remainingWeight -= share.weight;
    if (remainingWeight < 0) return share.pool;
  }
  return route.shares.at(-1)?.pool;
}
