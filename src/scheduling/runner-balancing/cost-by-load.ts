/** Weighs runners by requests in flight, as a share of their slots. Pure. */
import type { CallTiming } from "./call-timing.ts";
import { median } from "./median.ts";
import type { RunnerCandidate } from "./runner-candidate.ts";
import { type CostFunction, RunnerCostModel } from "./runner-cost-model.ts";
import type { RunnerCriteria } from "./runner-criteria.ts";
import type { RunnerLoads } from "./runner-loads.ts";

/** Cost of a runner that is being avoided: taken only when nothing else is left. */
const AVOIDED_COST = 1_000_000;
/** What distance costs, as a share of a slot. */
const OTHER_ZONE_COST = 0.3;
/**
 * What a prompt costs that is not cached yet, as a share of all slots. Reading it anew holds up the whole batch, for as
 * much of the runner's time as several turns take: under load, calls that leave the holder for a free place elsewhere
 * take more capacity than they find.
 */
const UNCACHED_PROMPT_COST = 2.5;
/** What each request beyond the slots costs, as a share of all slots. */
const QUEUED_REQUEST_COST = 4;
/** What a runner costs at which every request fails, as a share of all slots. */
const FAILURE_COST = 4;
/** What a runner costs for each time that its steps take as long again as those of the pool. */
const SLOWNESS_COST = 0.25;
/** A pace up to this many times as slow as the pool's costs nothing. */
const TOLERATED_SLOWNESS = 2;
const MAX_SLOWNESS_COST = 2;
/** How long the usual pace of a pool counts, in ms. */
const MEDIAN_PACE_TTL_MS = 200;

/** How long runners of a pool usually take for a step, as of a moment. */
interface MedianPace {
  readonly atMs: number;
  readonly paceMs: number;
}

/** See the module's comment. */
export class CostByLoad extends RunnerCostModel {
  override readonly sharesPaces = false;
  override readonly maxCandidates = Number.POSITIVE_INFINITY;
  /** By pool. */
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

  /** The median pace of the candidates, looked at only now and then: it changes slowly. */
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

/** The median pace of the candidates; undefined when too few are known. */
function medianPaceMs(candidates: readonly RunnerCandidate[], nowMs: number): number | undefined {
  const times = candidates.flatMap(({ health }) => health.paceMs(nowMs) ?? []);
  return times.length >= 2 ? median(times) : undefined;
}

function slownessCost(paceMs: number | undefined, medianMs: number | undefined): number {
  if (paceMs === undefined || medianMs === undefined || medianMs <= 0) return 0;
  const excess = Math.max(0, paceMs / medianMs - TOLERATED_SLOWNESS);
  return Math.min(MAX_SLOWNESS_COST, excess * SLOWNESS_COST);
}
