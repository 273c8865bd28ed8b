/** Compares runners by their requests in flight, as a share of their slots. Pure. */
import type { CallTiming } from "./call-timing.ts";
import { median } from "./median.ts";
import type { RunnerCandidate } from "./runner-candidate.ts";
import { type CostFunction, RunnerCostModel } from "./runner-cost-model.ts";
import type { RunnerCriteria } from "./runner-criteria.ts";
import type { RunnerLoads } from "./runner-loads.ts";

/** Cost of a runner that is being avoided: it is chosen only if there is no other. */
const AVOIDED_COST = 1_000_000;
/** Cost of a runner in another zone, as a share of all slots. */
const OTHER_ZONE_COST = 0.3;
/**
 * Cost of a prompt that is not cached at the runner, as a share of all slots. Prefilling it delays the whole batch and takes
 * as much of the runner's time as several turns. Under load, calls that leave the runner with the cached prompt for a free
 * slot elsewhere use up more capacity than they gain.
 */
const UNCACHED_PROMPT_COST = 2.5;
/** Additional cost of each request beyond the slots, in slots. */
const QUEUED_REQUEST_COST = 4;
/** Cost of a runner at which every request fails, as a share of all slots. */
const FAILURE_COST = 4;
/** Cost per multiple of the pool's median pace by which a runner is slower than tolerated. */
const SLOWNESS_COST = 0.25;
/** A pace of up to this multiple of the pool's median costs nothing. */
const TOLERATED_SLOWNESS = 2;
const MAX_SLOWNESS_COST = 2;
/** How long the median pace of a pool is reused before it is computed again, in ms. */
const MEDIAN_PACE_TTL_MS = 200;

/** The median time of a step at the runners of a pool, and when it was computed. */
interface MedianPace {
  readonly atMs: number;
  readonly paceMs: number;
}

/** Cost model that compares runners by load, failure rate, zone, cached prompt and pace. */
export class CostByLoad extends RunnerCostModel {
  override readonly sharesPaces = false;
  override readonly maxCandidates = Number.POSITIVE_INFINITY;
  /** Keyed by pool. */
  readonly #medianPaces = new Map<string, MedianPace>();

  override costFunction(
    candidates: readonly RunnerCandidate[],
    criteria: RunnerCriteria,
    loads: RunnerLoads,
  ): CostFunction {
    const medianMs = this.#medianPaceMs(candidates, criteria);
    return (candidate) => costOf(candidate, criteria, loads, medianMs);
  }

  override expectedMs(): undefined {
    return undefined;
  }

  override observe(_: RunnerCandidate, { workMs, steps }: CallTiming): number {
    return workMs / steps;
  }

  /** The median pace of the candidates, cached for a short time because it changes slowly. */
  #medianPaceMs(candidates: readonly RunnerCandidate[], { pool, nowMs }: RunnerCriteria): number | undefined {
    const known = this.#medianPaces.get(pool);
    if (known && nowMs - known.atMs < MEDIAN_PACE_TTL_MS) return known.paceMs;
    const paceMs = medianPaceMs(candidates, nowMs);
    if (paceMs !== undefined) this.#medianPaces.set(pool, { atMs: nowMs, paceMs });
    return paceMs;
  }
}

function costOf(
  { entry, health, avoidUntilMs }: RunnerCandidate,
  criteria: RunnerCriteria,
  loads: RunnerLoads,
  medianMs: number | undefined,
): number {
  const load = loads.load(entry.id);
  const excess = Math.max(0, load + 1 - entry.slots);
  let cost = (load + excess * QUEUED_REQUEST_COST) / entry.slots;
  if (entry.zone !== criteria.zone) cost += OTHER_ZONE_COST;
  if (criteria.preferred !== undefined && criteria.preferred !== entry.id) cost += UNCACHED_PROMPT_COST;
  if (criteria.nowMs < avoidUntilMs) cost += AVOIDED_COST;
  cost += loads.failureRate(entry.id, criteria.nowMs) * FAILURE_COST;
  return cost + slownessCost(health.paceMs(criteria.nowMs), medianMs);
}

/** The median pace of the candidates; undefined if fewer than two paces are known. */
function medianPaceMs(candidates: readonly RunnerCandidate[], nowMs: number): number | undefined {
  const times = candidates.flatMap(({ health }) => health.paceMs(nowMs) ?? []);
  return times.length >= 2 ? median(times) : undefined;
}

function slownessCost(paceMs: number | undefined, medianMs: number | undefined): number {
  if (paceMs === undefined || medianMs === undefined || medianMs <= 0) return 0;
  const excess = Math.max(0, paceMs / medianMs - TOLERATED_SLOWNESS);
  return Math.min(MAX_SLOWNESS_COST, excess * SLOWNESS_COST);
}
