/** Tenants that send requests through random gateways, and what their callers observe. */
import type { RateLimit } from "../../../src/coordination/request-rate/index.ts";
import type { KeyDigest } from "../../../src/scheduling/ids/key-digest.ts";
import type { TenantName } from "../../../src/scheduling/ids/tenant-name.ts";
import type { Tenant } from "../../../src/scheduling/routing/tenant.ts";
import type { GatewayWorld } from "./gateway-world.ts";

/** The times at which an admitted request was sent and admitted. */
export interface AdmittedRequest {
  readonly sentAtMs: number;
  readonly admittedAtMs: number;
}

/** A tenant's key, and the time at which it was revoked. */
interface KeyLifetime {
  readonly key: KeyDigest;
  revokedAtMs: number | undefined;
}

/** One tenant of the simulation. */
export interface SimulatedTenant {
  readonly name: TenantName;
  /** The tenant's limits, each with the time since which it is configured. */
  readonly limits: { readonly sinceMs: number; readonly limit: RateLimit }[];
  readonly keys: KeyLifetime[];
  /** The rate of its requests, as a multiple of its first limit. */
  load: number;
  readonly admitted: AdmittedRequest[];
  limited: number;
  unavailable: number;
}

/** The results of a simulation with tenants. */
export interface TenantObservations {
  readonly tenants: readonly SimulatedTenant[];
  /** Violated guarantees. */
  readonly broken: string[];
}

const LIMITS: readonly RateLimit[] = [
  { perSecond: 2, burst: 2 },
  { perSecond: 5, burst: 5 },
  { perSecond: 20, burst: 20 },
  { perSecond: 30, burst: 30 },
  { perSecond: 40, burst: 10 },
];
const KEYS_EACH = 2;
/** Request rates of normal and of overloading tenants, as multiples of their first limits. */
const USUAL_LOAD = 0.5;
const OVERLOAD = 5;
const OVERLOADED_TENANTS = 3;
const WILD_EVERY_MS = 6_000;
const CHANGE_EVERY_MS = 4_000;
const LOWERED_PART = 0.2;
const PATIENCE_MS = 1_500;
const MS_PER_S = 1_000;

/** Creates the tenants with their first limits and keys. */
export function newTenants(): SimulatedTenant[] {
  return LIMITS.map((limit, index) => ({
    name: `tenant-${index}` as TenantName,
    limits: [{ sinceMs: 0, limit }],
    keys: Array.from({ length: KEYS_EACH }, (_, key) => newKey(index, key)),
    load: USUAL_LOAD,
    admitted: [],
    limited: 0,
    unavailable: 0,
  }));
}

/** Writes the tenants' current state into the configuration. */
export function configureTenants(world: GatewayWorld, tenants: readonly SimulatedTenant[]): void {
  world.configure(tenants.map(asConfigured));
}

/** Sends a tenant's requests until `untilMs`, at regular intervals with some jitter. */
export function sendRequests(
  world: GatewayWorld,
  observations: TenantObservations,
  tenant: SimulatedTenant,
  revokeMs: number,
  untilMs: number,
): void {
  const next = (): void => {
    if (world.time.nowMs >= untilMs) return;
    void sendOne(world, observations, tenant, revokeMs);
    const perSecond = (tenant.limits[0] as { limit: RateLimit }).limit.perSecond * tenant.load;
    world.time.after((MS_PER_S / perSecond) * (0.8 + 0.4 * world.random.unit()), next);
  };
  next();
}

/** Changes tenants repeatedly: overloads some, lowers and restores limits, and revokes and adds keys. */
export function changeTenants(
  world: GatewayWorld,
  tenants: readonly SimulatedTenant[],
  untilMs: number,
): void {
  const draw = () => tenants[world.random.below(tenants.length)] as SimulatedTenant;
  const overloadTenants = (): void => {
    for (const tenant of tenants) tenant.load = USUAL_LOAD;
    if (world.time.nowMs >= untilMs) return;
    for (let count = 0; count < OVERLOADED_TENANTS; count += 1) draw().load = OVERLOAD;
    world.time.after(WILD_EVERY_MS, overloadTenants);
  };
  const change = (): void => {
    if (world.time.nowMs >= untilMs) return;
    const tenant = draw();
    if (world.random.unit() < 0.5) changeLimit(tenant, world.time.nowMs);
    else changeKeys(tenant, world.time.nowMs);
    configureTenants(world, tenants);
    world.time.after(CHANGE_EVERY_MS, change);
  };
  overloadTenants();
  change();
}

async function sendOne(
  world: GatewayWorld,
  { broken }: TenantObservations,
  tenant: SimulatedTenant,
  revokeMs: number,
): Promise<void> {
  const gateway = world.drawServing();
  const used = tenant.keys[world.random.below(tenant.keys.length)];
  if (!gateway || !used) return;
  const sentAtMs = world.time.nowMs;
  const { routes } = gateway.routing;
  const known = gateway.routing.canTrustKeys ? routes?.tenantOf(used.key) : undefined;
  if (!known || !routes) return;
  if (used.revokedAtMs !== undefined && sentAtMs - used.revokedAtMs > revokeMs)
    broken.push(`key: ${used.key} was used ${sentAtMs - used.revokedAtMs} ms after it was revoked`);
  const untilMs = gateway.process.monotonicMs() + PATIENCE_MS;
  const verdict = await gateway.rates.admit(known, routes.configuration.version, untilMs);
  if (!gateway.process.alive) return;
  if (verdict.type === "granted") tenant.admitted.push({ sentAtMs, admittedAtMs: world.time.nowMs });
  else if (verdict.type === "limited") tenant.limited += 1;
  else tenant.unavailable += 1;
}

function changeLimit(tenant: SimulatedTenant, nowMs: number): void {
  const [first] = tenant.limits;
  const last = tenant.limits.at(-1);
  if (!first || !last) return;
  const { perSecond, burst } = first.limit;
  const lowered = { perSecond: perSecond * LOWERED_PART, burst: Math.round(burst * LOWERED_PART) };
  tenant.limits.push({ sinceMs: nowMs, limit: last.limit === first.limit ? lowered : first.limit });
}

function changeKeys(tenant: SimulatedTenant, nowMs: number): void {
  const inForce = tenant.keys.filter(({ revokedAtMs }) => revokedAtMs === undefined);
  const [oldest] = inForce;
  if (inForce.length > 1 && oldest) oldest.revokedAtMs = nowMs;
  else tenant.keys.push(newKey(tenant.name, tenant.keys.length));
}

function newKey(tenant: string | number, index: number): KeyLifetime {
  return { key: `key-${tenant}-${index}` as KeyDigest, revokedAtMs: undefined };
}

function asConfigured({ name, keys, limits }: SimulatedTenant): Tenant {
  const inForce = keys.filter(({ revokedAtMs }) => revokedAtMs === undefined);
  return { name, keys: inForce.map(({ key }) => key), priority: 0, limit: limits.at(-1)?.limit };
}
