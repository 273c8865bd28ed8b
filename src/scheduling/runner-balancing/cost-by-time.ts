/**
 * Weighs runners by the time in which a call is expected to be over there: its steps at the runner's pace, the wait for a
 * place, the reading of its prompt. A fast runner gets more calls than a slow one, and both get some while calls wait.
 * Times in ms. Pure.
 */
import type { CallTiming } from "./call-timing.ts";
import { gumbelSample } from "./gumbel-sample.ts";
import { median } from "./median.ts";
import { PoolTimes } from "./pool-times.ts";
import type { RunnerCandidate } from "./runner-candidate.ts";
import { type CostFunction, RunnerCostModel } from "./runner-cost-model.ts";
import type { RunnerCriteria } from "./runner-criteria.ts";
import type { RunnerLoads } from "./runner-loads.ts";

/** Cost of a runner that is being avoided: taken only when nothing else is left. */
const AVOIDED_COST_MS = 1_000_000;
/** Steps in a full batch take longer than in an empty one by about this part. */
const FULL_BATCH_SLOWDOWN = 0.25;
/**
 * What a full batch costs beside, as a part of a call: the more requests share a runner's memory, the more cached prompts
 * give way, and the more requests are preempted and read anew.
 */
const MEMORY_CONTENTION_COST_CALLS = 0.5;
/**
 * What another zone costs, as a part of a call: its way is short, but traffic between zones is paid for, and a zone that
 * is parted breaks the calls that cross its border.
 */
const OTHER_ZONE_COST_CALLS = 0.4;
/** What a runner costs at which every request fails, in calls: the lost one, others in its place, and its program. */
const FAILURE_COST_CALLS = 8;
/** What a prompt costs that is not cached, in calls, while the speed of reading is not known. */
const UNCACHED_PROMPT_COST_CALLS = 2.5;
/**
 * How widely the choice is spread over runners of nearly the same cost, in ms, and at most a call: in an empty pool, and
 * added in a full one. All nodes know the same paces, and loads that are half a second old; with less they would all run to
 * the same runner till they hear of it, where the wait for its places is the longer the fuller the pool.
 */
const BASE_SPREAD_MS = 40;
const FULL_POOL_SPREAD_MS = 250;
/**
 * The holder of the prompt is left for a runner that is better, not for the luck of the draw: its share of the spread is
 * beyond the largest of the others by so much, which these reach once in eight choices.
 */
const PREFERRED_RUNNER_MARGIN = 2;
/** Among so many there are nearly always some of the fast ones of the own zone, and weighing takes processor time. */
const MAX_CANDIDATES = 16;
/** A runner is taken to be at most so many times faster or slower than the usual one. */
const MAX_SLOWNESS = 8;
/** Requests that come and go between reports: so near to its slots, a runner may already have more than them. */
const LOAD_UNCERTAINTY_REQUESTS = 2;
/** How long what is usual in a pool counts, in ms: it changes slowly. */
const POOL_STATE_TTL_MS = 200;
/** Time of a step while none has been seen, in ms. */
const DEFAULT_PACE_MS = 50;

/** What is usual in a pool, as of a moment. */
interface PoolState {
  readonly atMs: number;
  /** Time of a step. */
  readonly paceMs: number;
  /** Requests as a share of the slots. */
  readonly occupancy: number;
}

/** What holds for all runners of a choice. */
interface TypicalTimes {
  /** Time of a step at the usual runner. */
  readonly paceMs: number;
  /** Time of a call there, without waiting. */
  readonly callMs: number;
  /** Time for reading the prompt there, with nothing else running. */
  readonly prefillMs: number;
}

/** See the module's comment. */
export class CostByTime extends RunnerCostModel {
  override readonly sharesPaces = true;
  override readonly maxCandidates = MAX_CANDIDATES;
  /** By pool. */
  readonly #times = new Map<string, PoolTimes>();
  readonly #poolStates = new Map<string, PoolState>();

  override costFunction(
    candidates: readonly RunnerCandidate[],
    criteria: RunnerCriteria,
    loads: RunnerLoads,
  ): CostFunction {
    const { paceMs, occupancy } = this.#poolState(candidates, criteria, loads);
    const typical = this.#typicalTimes(paceMs, criteria);
    const spreadMs = Math.min(typical.callMs, BASE_SPREAD_MS + FULL_POOL_SPREAD_MS * occupancy);
    const preferredSample = Math.log(Math.min(candidates.length, MAX_CANDIDATES)) + PREFERRED_RUNNER_MARGIN;
    return (candidate, index) => {
      const isPreferred = candidate.entry.id === criteria.preferred;
      const sample = isPreferred ? preferredSample : gumbelSample(criteria.sample, index);
      return costMs(candidate, criteria, loads, typical) - spreadMs * sample;
    };
  }

  override expectedMs(candidate: RunnerCandidate, criteria: RunnerCriteria, loads: RunnerLoads): number {
    const paceMs = this.#poolStates.get(criteria.pool)?.paceMs ?? DEFAULT_PACE_MS;
    const typical = this.#typicalTimes(paceMs, criteria);
    return completionMs(candidate, criteria, loads, typical, 1);
  }

  override observe({ entry, pace }: RunnerCandidate, timing: CallTiming, nowMs: number): number {
    const known = this.#times.get(entry.pool);
    const times = known ?? new PoolTimes();
    if (!known) this.#times.set(entry.pool, times);
    const medianMs = this.#poolStates.get(entry.pool)?.paceMs;
    const slowness = medianMs === undefined ? 1 : clampSlowness(pace.slowness(medianMs, nowMs));
    const hadFreeSlot = timing.load < entry.slots;
    const batchSlowdown = 1 + FULL_BATCH_SLOWDOWN * Math.min(1, timing.load / entry.slots);
    return times.observe(timing, slowness, hadFreeSlot) / batchSlowdown;
  }

  #poolState(
    candidates: readonly RunnerCandidate[],
    criteria: RunnerCriteria,
    loads: RunnerLoads,
  ): PoolState {
    const { pool, nowMs } = criteria;
    const known = this.#poolStates.get(pool);
    if (known && nowMs - known.atMs < POOL_STATE_TTL_MS) return known;
    const paces = candidates.flatMap(({ pace }) => pace.longTermMs ?? []);
    const paceMs = median(paces) ?? known?.paceMs ?? DEFAULT_PACE_MS;
    const state = { atMs: nowMs, paceMs, occupancy: occupancyOf(candidates, loads) };
    this.#poolStates.set(pool, state);
    return state;
  }

  #typicalTimes(paceMs: number, { pool, promptTokens }: RunnerCriteria): TypicalTimes {
    const times = this.#times.get(pool);
    const callMs = paceMs * (times?.steps ?? 1);
    const tokensPerMs = times?.promptTokensPerMs;
    const isKnown = tokensPerMs !== undefined && promptTokens !== undefined;
    return {
      paceMs,
      callMs,
      prefillMs: isKnown ? promptTokens / tokensPerMs : callMs * UNCACHED_PROMPT_COST_CALLS,
    };
  }
}

function costMs(
  candidate: RunnerCandidate,
  criteria: RunnerCriteria,
  loads: RunnerLoads,
  typical: TypicalTimes,
): number {
  const { entry, avoidUntilMs } = candidate;
  const batchSize = Math.min(loads.load(entry.id), entry.slots);
  let cost = completionMs(candidate, criteria, loads, typical, 1 + batchSize);
  cost += MEMORY_CONTENTION_COST_CALLS * (batchSize / entry.slots) * typical.callMs;
  cost += loads.failureRate(entry.id, criteria.nowMs) * FAILURE_COST_CALLS * typical.callMs;
  if (entry.zone !== criteria.zone) cost += OTHER_ZONE_COST_CALLS * typical.callMs;
  return criteria.nowMs < avoidUntilMs ? cost + AVOIDED_COST_MS : cost;
}

/**
 * Time until the call is over.
 *
 * @param delayedRequests requests that wait while the prompt is read, itself among them: it counts once for each
 */
function completionMs(
  { entry, pace }: RunnerCandidate,
  { preferred, nowMs }: RunnerCriteria,
  loads: RunnerLoads,
  { paceMs, callMs, prefillMs }: TypicalTimes,
  delayedRequests: number,
): number {
  const load = loads.load(entry.id);
  const batchFill = Math.min(1, load / entry.slots);
  const waiting = expectedExcess(load + 1 - entry.slots) / entry.slots;
  let atMedianPaceMs = callMs * (1 + FULL_BATCH_SLOWDOWN * batchFill + waiting);
  if (preferred !== undefined && preferred !== entry.id) atMedianPaceMs += prefillMs * delayedRequests;
  return atMedianPaceMs * clampSlowness(pace.slowness(paceMs, nowMs));
}

function occupancyOf(candidates: readonly RunnerCandidate[], loads: RunnerLoads): number {
  let load = 0;
  let slots = 0;
  for (const { entry } of candidates) {
    load += loads.load(entry.id);
    slots += entry.slots;
  }
  return slots === 0 ? 0 : load / slots;
}

/** Requests beyond the slots, where the load is known only roughly. */
function expectedExcess(excess: number): number {
  if (excess >= LOAD_UNCERTAINTY_REQUESTS) return excess;
  if (excess <= -LOAD_UNCERTAINTY_REQUESTS) return 0;
  return (excess + LOAD_UNCERTAINTY_REQUESTS) ** 2 / (4 * LOAD_UNCERTAINTY_REQUESTS);
}

function clampSlowness(slowness: number): number {
  return Math.min(MAX_SLOWNESS, Math.max(1 / MAX_SLOWNESS, slowness));
}
