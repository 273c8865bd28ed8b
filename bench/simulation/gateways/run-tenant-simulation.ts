/** Runs gateways with tenants under faults in virtual time, and checks keys and limits as callers observe them. */
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

/** Times as in a production deployment with tenants, but with less slack, so that violations are easier to detect. */
const TENANCY: GatewayTenancy = {
  revokeMs: 5_000,
  tolerance: { windowMs: 5_000, overage: 0.1, slack: 6 },
};
const QUIET_START_MS = 8_000;
const FAULT_EVERY_MS = 5_000;
/** Time after the last fault within which the system must have recovered, in ms. */
const RECOVERY_MS = 8_000;
const CALM_MS = 6_000;
/**
 * Time after which a lowered limit is enforced, in ms: the time for which a fault may keep the update from a gateway
 * (4,000), the time until the configuration is in force (3,000), and one window.
 */
const LOWERED_AFTER_MS = 12_000;

/** Runs one simulation and returns its observations, with the violated guarantees in `broken`. */
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
  // By this time the buckets of lowered limits have been refilled at the original rate.
  await world.time.runUntil(faultsEndMs + RECOVERY_MS + CALM_MS / 2);
  const refusedBefore = tenants.map(({ limited, unavailable }) => limited + unavailable);
  await world.time.runUntil(endMs);
  for (const [index, tenant] of tenants.entries()) {
    const refused = tenant.limited + tenant.unavailable - (refusedBefore[index] ?? 0);
    if (refused > 0)
      observations.broken.push(`limit: ${refused} of ${tenant.name} refused below it after the recovery`);
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

/** Checks that the requests admitted in each window stay within the limit and its tolerance. */
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

/** The highest limit that was configured at any time between `fromMs` and `untilMs`. */
function highestLimit({ limits }: SimulatedTenant, fromMs: number, untilMs: number): RateLimit {
  const inSpan = limits.filter(({ sinceMs }, index) => {
    const endedMs = limits[index + 1]?.sinceMs ?? Number.POSITIVE_INFINITY;
    return sinceMs <= untilMs && endedMs >= fromMs;
  });
  const highest = inSpan.map(({ limit }) => limit).sort((left, right) => right.perSecond - left.perSecond)[0];
  return highest ?? { perSecond: 0, burst: 0 };
}
