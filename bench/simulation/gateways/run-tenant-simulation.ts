/** Runs gateways with tenants under faults on virtual time, and checks keys and limits from outside. */
import type { RateTolerance } from "../../../src/coordination/request-rate/index.ts";
import type { TextHash } from "../../../src/runtime/text-hash.ts";
import type { RequestLimit } from "../../../src/scheduling/routing/request-limit.ts";
import { strike } from "./gateway-faults.ts";
import { type GatewayTenancy, GatewayWorld } from "./gateway-world.ts";
import type { GatewaySimulationOptions } from "./run-gateway-simulation.ts";
import {
  changeTenants,
  configureTenants,
  newTenants,
  type SimulatedTenant,
  sendRequests,
  type TenantObservations,
} from "./tenant-workload.ts";

/** Times as on a deployment with tenants; less slack, so that less hides what is wrong. */
const TENANCY: GatewayTenancy = {
  revokeMs: 5_000,
  tolerance: { windowMs: 5_000, overage: 0.1, slack: 6 },
};
const QUIET_START_MS = 8_000;
const FAULT_EVERY_MS = 5_000;
/** After the last fault, everything must work again within this time, in ms. */
const RECOVERY_MS = 8_000;
const CALM_MS = 6_000;
/**
 * A limit that was lowered binds so long after, in ms: what a fault may keep the news from a gateway (4,000), what the
 * configuration takes to be in force (3,000), and a window.
 */
const LOWERED_AFTER_MS = 12_000;
const MS_PER_S = 1_000;

/** See the module's comment. */
export async function runTenantSimulation(
  options: GatewaySimulationOptions,
  hash: TextHash,
): Promise<TenantObservations> {
  const world = new GatewayWorld(options.seed, hash, options.fleet, TENANCY);
  const tenants = newTenants();
  const observations: TenantObservations = { tenants, broken: [] };
  configureTenants(world, tenants);
  await world.time.runUntil(QUIET_START_MS);
  const faultsEndMs = QUIET_START_MS + options.durationMs;
  const endMs = faultsEndMs + RECOVERY_MS + CALM_MS;
  for (let atMs = QUIET_START_MS; atMs < faultsEndMs; atMs += FAULT_EVERY_MS)
    for (const fault of options.faults)
      world.time.after(atMs - world.time.nowMs + world.random.unit() * FAULT_EVERY_MS, () =>
        strike(world, fault),
      );
  for (const tenant of tenants) sendRequests(world, observations, tenant, TENANCY.revokeMs, endMs);
  changeTenants(world, tenants, faultsEndMs);
  await world.time.runUntil(faultsEndMs + RECOVERY_MS);
  restoreLimits(tenants, world.time.nowMs);
  configureTenants(world, tenants);
  // By then the buckets of limits that were lowered are filled by the old rate again.
  await world.time.runUntil(faultsEndMs + RECOVERY_MS + CALM_MS / 2);
  const refusedBefore = tenants.map(({ limited, unavailable }) => limited + unavailable);
  await world.time.runUntil(endMs);
  for (const [index, tenant] of tenants.entries()) {
    const refused = tenant.limited + tenant.unavailable - (refusedBefore[index] ?? 0);
    if (refused > 0) observations.broken.push(`limit: ${refused} of ${tenant.name} refused below it in calm`);
    checkLimit(tenant, TENANCY.tolerance, observations);
  }
  return observations;
}

function restoreLimits(tenants: readonly SimulatedTenant[], nowMs: number): void {
  for (const { limits } of tenants) {
    const [first] = limits;
    if (first) limits.push({ sinceMs: nowMs, limit: first.limit });
  }
}

/** In every window, what was admitted stays within the limit and its tolerance. */
function checkLimit(
  tenant: SimulatedTenant,
  { windowMs, overage, slack }: RateTolerance,
  { broken }: TenantObservations,
): void {
  const sorted = [...tenant.admitted].sort((left, right) => left.admittedAtMs - right.admittedAtMs);
  let first = 0;
  let worst: { beyond: number; text: string } | undefined;
  for (const [index, { admittedAtMs }] of sorted.entries()) {
    while (admittedAtMs - (sorted[first]?.admittedAtMs ?? 0) > windowMs) first += 1;
    const { perSecond, burst } = highestLimit(tenant, admittedAtMs - LOWERED_AFTER_MS, admittedAtMs);
    const bound = ((perSecond * windowMs) / MS_PER_S + burst) * (1 + overage) + slack;
    const count = index - first + 1;
    if (count - bound <= (worst?.beyond ?? 0)) continue;
    const text = `${count} requests in a window at ${admittedAtMs} ms, bound ${bound}`;
    worst = { beyond: count - bound, text };
  }
  if (worst) broken.push(`limit: ${tenant.name} had ${worst.text}`);
}

/** The highest limit that operators said in a span of time. */
function highestLimit({ limits }: SimulatedTenant, fromMs: number, untilMs: number): RequestLimit {
  const inSpan = limits.filter(({ sinceMs }, index) => {
    const endedMs = limits[index + 1]?.sinceMs ?? Number.POSITIVE_INFINITY;
    return sinceMs <= untilMs && endedMs >= fromMs;
  });
  const highest = inSpan.map(({ limit }) => limit).sort((left, right) => right.perSecond - left.perSecond)[0];
  return highest ?? { perSecond: 0, burst: 0 };
}
