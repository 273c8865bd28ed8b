/** Runs gateways with tenants under faults on virtual time, and checks keys and limits from outside. */
import type { RateLimit, RateTolerance } from "../../../src/coordination/request-rate/index.ts";
import type { TextHash } from "../../../src/runtime/text-hash.ts";
import { maxRequestsInWindow } from "../max-requests-in-window.ts";
import { windowCounts } from "../window-counts.ts";
import { injectFault } from "./gateway-faults.ts";
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
        injectFault(world, fault),
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
function checkLimit(tenant: SimulatedTenant, tolerance: RateTolerance, { broken }: TenantObservations): void {
  const admittedAtMs = tenant.admitted.map((request) => request.admittedAtMs);
  const windows = windowCounts(admittedAtMs, tolerance.windowMs).map(({ endMs, count }) => {
    const limit = highestLimit(tenant, endMs - LOWERED_AFTER_MS, endMs);
    const bound = maxRequestsInWindow(limit, tolerance);
    return { endMs, count, bound, beyond: count - bound };
  });
  const [worst] = windows.sort((left, right) => right.beyond - left.beyond);
  if (worst && worst.beyond > 0)
    broken.push(
      `limit: ${tenant.name} had ${worst.count} requests in a window at ${worst.endMs} ms, bound ${worst.bound}`,
    );
}

/** The highest limit that operators said in a span of time. */
function highestLimit({ limits }: SimulatedTenant, fromMs: number, untilMs: number): RateLimit {
  const inSpan = limits.filter(({ sinceMs }, index) => {
    const endedMs = limits[index + 1]?.sinceMs ?? Number.POSITIVE_INFINITY;
    return sinceMs <= untilMs && endedMs >= fromMs;
  });
  const highest = inSpan.map(({ limit }) => limit).sort((left, right) => right.perSecond - left.perSecond)[0];
  return highest ?? { perSecond: 0, burst: 0 };
}
