/** Weighs runners by requests in flight, as a share of their slots. Pure. */
import type { CallTiming } from "./call-timing.ts";
import { median } from "./median.ts";
import type { RunnerCandidate } from "./runner-candidate.ts";
import { type CostFunction, RunnerCost } from "./runner-cost-model.ts";
import type { RunnerChoice } from "./runner-criteria.ts";
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
const COLD_PROMPT_COST = 2.5;
/** What each request beyond the slots costs, as a share of all slots. */
const QUEUED_COST = 4;
/** What a runner costs at which every request fails, as a share of all slots. */
const FAILING_COST = 4;
/** What a runner costs for each time that its steps take as long again as those of the pool. */
const SLOW_COST = 0.25;
/** A pace up to this many times as slow as the pool's costs nothing. */
const TOLERATED_SLOWNESS = 2;
const MAX_SLOW_COST = 2;
/** How long the usual pace of a pool counts, in ms. */
const PACE_TTL_MS = 200;

/** How long runners of a pool usually take for a step, as of a moment. */
interface UsualPace {
  readonly atMs: number;
  readonly paceMs: number;
}

/** See the module's comment. */
export class CostByLoad extends RunnerCost {
  override readonly sharesPaces = false;
  override readonly mostWeighed = Number.POSITIVE_INFINITY;
  /** By pool. */
  readonly #usualPaces = new Map<string, UsualPace>();

  override among(
    candidates: readonly RunnerCandidate[],
    choice: RunnerChoice,
    loads: RunnerLoads,
  ): CostFunction {
    const usualMs = this.#usualPaceMs(candidates, choice);
    return (candidate) => costOf(candidate, choice, loads, usualMs);
  }

  override expectedMs(): undefined {
    return undefined;
  }

  override observe(_: RunnerCandidate, { workMs, steps }: CallTiming): number {
    return workMs / steps;
  }

  /** The median pace of the candidates, looked at only now and then: it changes slowly. */
  #usualPaceMs(candidates: readonly RunnerCandidate[], { pool, nowMs }: RunnerChoice): number | undefined {
    const known = this.#usualPaces.get(pool);
    if (known && nowMs - known.atMs < PACE_TTL_MS) return known.paceMs;
    const paceMs = usualPaceMs(candidates, nowMs);
    if (paceMs !== undefined) this.#usualPaces.set(pool, { atMs: nowMs, paceMs });
    return paceMs;
  }
}

function costOf(
  { entry, health, avoidUntilMs }: RunnerCandidate,
  choice: RunnerChoice,
  loads: RunnerLoads,
  usualMs: number | undefined,
): number {
  const load = loads.load(entry.id);
  const beyond = Math.max(0, load + 1 - entry.slots);
  let cost = (load + beyond * QUEUED_COST) / entry.slots;
  if (entry.zone !== choice.zone) cost += OTHER_ZONE_COST;
  if (choice.preferred !== undefined && choice.preferred !== entry.id) cost += COLD_PROMPT_COST;
  if (choice.nowMs < avoidUntilMs) cost += AVOIDED_COST;
  cost += loads.failureRate(entry.id, choice.nowMs) * FAILING_COST;
  return cost + slownessCost(health.paceMs(choice.nowMs), usualMs);
}

/** The median pace of the candidates; undefined when too few are known. */
function usualPaceMs(candidates: readonly RunnerCandidate[], nowMs: number): number | undefined {
  const times = candidates.flatMap(({ health }) => health.paceMs(nowMs) ?? []);
  return times.length >= 2 ? median(times) : undefined;
}

function slownessCost(paceMs: number | undefined, usualMs: number | undefined): number {
  if (paceMs === undefined || usualMs === undefined || usualMs <= 0) return 0;
  const beyond = Math.max(0, paceMs / usualMs - TOLERATED_SLOWNESS);
  return Math.min(MAX_SLOW_COST, beyond * SLOW_COST);
}
