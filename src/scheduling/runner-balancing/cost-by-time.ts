/**
 * Compares runners by the expected completion time of a call: the time of its steps at the runner's pace, the wait for a
 * slot, and the prefill of its prompt. A fast runner gets more calls than a slow one; while calls are waiting, both get some.
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

/** Cost of a runner that is being avoided: it is chosen only if there is no other. */
const AVOIDED_COST_MS = 1_000_000;
/** Fraction by which a step takes longer in a full batch than in an empty one, approximately. */
const FULL_BATCH_SLOWDOWN = 0.25;
/**
 * Additional cost of a full batch, in calls. The more requests share a runner's memory, the more cached prompts are evicted,
 * and the more requests are preempted and prefilled again.
 */
const MEMORY_CONTENTION_COST_CALLS = 0.5;
/**
 * Cost of a runner in another zone, in calls. The latency between zones is low, but traffic between them is billed, and a
 * network partition of a zone breaks the calls that cross its boundary.
 */
const OTHER_ZONE_COST_CALLS = 0.4;
/** Cost of a runner at which every request fails, in calls: the failed call, its retries, and the loss to its program. */
const FAILURE_COST_CALLS = 8;
/** Cost of a prompt that is not cached, in calls, while the prefill speed is not known. */
const UNCACHED_PROMPT_COST_CALLS = 2.5;
/**
 * Scale of the random term that spreads choices over runners of nearly the same cost, in ms: the value in an empty pool, and
 * what is added to it in a full pool. It is at most the time of a call. All gateways know the same paces, and loads that are
 * half a second old. With a smaller spread, all of them would choose the same runner until the next reports arrive, and the
 * wait for its slots grows with the load of the pool.
 */
const BASE_SPREAD_MS = 40;
const FULL_POOL_SPREAD_MS = 250;
/**
 * How far the random term of the preferred runner lies above the expected largest term of the other candidates; one of these
 * reaches it in one of eight choices. So a call leaves the runner that has its prompt cached for a better runner, and seldom
 * by chance.
 */
const PREFERRED_RUNNER_MARGIN = 2;
/**
 * Most runners that are compared for one choice, since each comparison takes CPU time. So many nearly always include some
 * fast runners of the own zone.
 */
const MAX_CANDIDATES = 16;
/** A runner counts as at most this many times faster or slower than the median of its pool. */
const MAX_SLOWNESS = 8;
/**
 * How far the known load may be off, in requests, since requests start and end between reports. A runner whose load is this
 * close to its slots may already have more requests than slots.
 */
const LOAD_UNCERTAINTY_REQUESTS = 2;
/** How long the state of a pool is reused before it is computed again, in ms: it changes slowly. */
const POOL_STATE_TTL_MS = 200;
/** Assumed time of a step while none has been observed, in ms. */
const DEFAULT_PACE_MS = 50;

/** Median pace and occupancy of a pool, and when they were computed. */
interface PoolState {
  readonly atMs: number;
  /** Median time of a step over the runners of the pool. */
  readonly paceMs: number;
  /** Requests in flight as a share of the slots. */
  readonly occupancy: number;
}

/** Expected times of a call at a runner of median pace; the same for all candidates of a choice. */
interface TypicalTimes {
  /** Time of a step. */
  readonly paceMs: number;
  /** Time of the whole call, without waiting for a slot. */
  readonly callMs: number;
  /** Time to prefill the prompt while nothing else is running. */
  readonly prefillMs: number;
}

/** Cost model that compares runners by the expected completion time of a call, in ms. */
export class CostByTime extends RunnerCostModel {
  override readonly sharesPaces = true;
  override readonly maxCandidates = MAX_CANDIDATES;
  /** Keyed by pool. */
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
 * Expected time until the call is complete.
 *
 * @param delayedRequests number of requests that are delayed by the prefill of the prompt, including the call itself: the
 *   prefill time counts once for each of them
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

/** Expected number of requests beyond the slots, given that the load is known only approximately. */
function expectedExcess(excess: number): number {
  if (excess >= LOAD_UNCERTAINTY_REQUESTS) return excess;
  if (excess <= -LOAD_UNCERTAINTY_REQUESTS) return 0;
  return (excess + LOAD_UNCERTAINTY_REQUESTS) ** 2 / (4 * LOAD_UNCERTAINTY_REQUESTS);
}

function clampSlowness(slowness: number): number {
  return Math.min(MAX_SLOWNESS, Math.max(1 / MAX_SLOWNESS, slowness));
}
