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
import { type CostFunction, RunnerCost } from "./runner-cost-model.ts";
import type { RunnerChoice } from "./runner-criteria.ts";
import type { RunnerLoads } from "./runner-loads.ts";

/** Cost of a runner that is being avoided: taken only when nothing else is left. */
const AVOIDED_COST_MS = 1_000_000;
/** Steps in a full batch take longer than in an empty one by about this part. */
const FULL_BATCH_PART = 0.25;
/**
 * What a full batch costs beside, as a part of a call: the more requests share a runner's memory, the more cached prompts
 * give way, and the more requests are preempted and read anew.
 */
const CROWDED_PART = 0.5;
/**
 * What another zone costs, as a part of a call: its way is short, but traffic between zones is paid for, and a zone that
 * is parted breaks the calls that cross its border.
 */
const OTHER_ZONE_PART = 0.4;
/** What a runner costs at which every request fails, in calls: the lost one, others in its place, and its program. */
const FAILED_CALLS = 8;
/** What a prompt costs that is not cached, in calls, while the speed of reading is not known. */
const UNCACHED_CALLS = 2.5;
/**
 * How widely the choice is spread over runners of nearly the same cost, in ms, and at most a call: in an empty pool, and
 * added in a full one. All nodes know the same paces, and loads that are half a second old; with less they would all run to
 * the same runner till they hear of it, where the wait for its places is the longer the fuller the pool.
 */
const SPREAD_MS = 40;
const FULL_SPREAD_MS = 250;
/**
 * The holder of the prompt is left for a runner that is better, not for the luck of the draw: its share of the spread is
 * beyond the largest of the others by so much, which these reach once in eight choices.
 */
const HOLDER_MARGIN = 2;
/** Among so many there are nearly always some of the fast ones of the own zone, and weighing takes processor time. */
const MOST_WEIGHED = 16;
/** A runner is taken to be at most so many times faster or slower than the usual one. */
const MOST_SLOWNESS = 8;
/** Requests that come and go between reports: so near to its slots, a runner may already have more than them. */
const UNCERTAIN_REQUESTS = 2;
/** How long what is usual in a pool counts, in ms: it changes slowly. */
const USUAL_TTL_MS = 200;
/** Time of a step while none has been seen, in ms. */
const UNKNOWN_PACE_MS = 50;

/** What is usual in a pool, as of a moment. */
interface UsualState {
  readonly atMs: number;
  /** Time of a step. */
  readonly paceMs: number;
  /** Requests as a share of the slots. */
  readonly occupancy: number;
}

/** What holds for all runners of a choice. */
interface PoolCosts {
  /** Time of a step at the usual runner. */
  readonly paceMs: number;
  /** Time of a call there, without waiting. */
  readonly callMs: number;
  /** Time for reading the prompt there, with nothing else running. */
  readonly readMs: number;
}

/** See the module's comment. */
export class CostByTime extends RunnerCost {
  override readonly sharesPaces = true;
  override readonly mostWeighed = MOST_WEIGHED;
  /** By pool. */
  readonly #times = new Map<string, PoolTimes>();
  readonly #usualStates = new Map<string, UsualState>();

  override among(
    candidates: readonly RunnerCandidate[],
    choice: RunnerChoice,
    loads: RunnerLoads,
  ): CostFunction {
    const { paceMs, occupancy } = this.#usual(candidates, choice, loads);
    const usual = this.#poolCosts(paceMs, choice);
    const spreadMs = Math.min(usual.callMs, SPREAD_MS + FULL_SPREAD_MS * occupancy);
    const holderSample = Math.log(Math.min(candidates.length, MOST_WEIGHED)) + HOLDER_MARGIN;
    return (candidate, index) => {
      const isHolder = candidate.entry.id === choice.preferred;
      const sample = isHolder ? holderSample : gumbelSample(choice.sample, index);
      return costMs(candidate, choice, loads, usual) - spreadMs * sample;
    };
  }

  override expectedMs(candidate: RunnerCandidate, choice: RunnerChoice, loads: RunnerLoads): number {
    const paceMs = this.#usualStates.get(choice.pool)?.paceMs ?? UNKNOWN_PACE_MS;
    const usual = this.#poolCosts(paceMs, choice);
    return timeMs(candidate, choice, loads, usual, 1);
  }

  override observe({ entry, pace }: RunnerCandidate, timing: CallTiming, nowMs: number): number {
    const known = this.#times.get(entry.pool);
    const times = known ?? new PoolTimes();
    if (!known) this.#times.set(entry.pool, times);
    const usualMs = this.#usualStates.get(entry.pool)?.paceMs;
    const slowness = usualMs === undefined ? 1 : bounded(pace.slowness(usualMs, nowMs));
    const hadPlace = timing.load < entry.slots;
    const batch = 1 + FULL_BATCH_PART * Math.min(1, timing.load / entry.slots);
    return times.observe(timing, slowness, hadPlace) / batch;
  }

  #usual(candidates: readonly RunnerCandidate[], choice: RunnerChoice, loads: RunnerLoads): UsualState {
    const { pool, nowMs } = choice;
    const known = this.#usualStates.get(pool);
    if (known && nowMs - known.atMs < USUAL_TTL_MS) return known;
    const paces = candidates.flatMap(({ pace }) => pace.longMs ?? []);
    const paceMs = median(paces) ?? known?.paceMs ?? UNKNOWN_PACE_MS;
    const usual = { atMs: nowMs, paceMs, occupancy: occupancyOf(candidates, loads) };
    this.#usualStates.set(pool, usual);
    return usual;
  }

  #poolCosts(paceMs: number, { pool, promptTokens }: RunnerChoice): PoolCosts {
    const times = this.#times.get(pool);
    const callMs = paceMs * (times?.steps ?? 1);
    const tokensPerMs = times?.promptTokensPerMs;
    const isKnown = tokensPerMs !== undefined && promptTokens !== undefined;
    return { paceMs, callMs, readMs: isKnown ? promptTokens / tokensPerMs : callMs * UNCACHED_CALLS };
  }
}

function costMs(
  candidate: RunnerCandidate,
  choice: RunnerChoice,
  loads: RunnerLoads,
  usual: PoolCosts,
): number {
  const { entry, avoidUntilMs } = candidate;
  const batch = Math.min(loads.load(entry.id), entry.slots);
  let cost = timeMs(candidate, choice, loads, usual, 1 + batch);
  cost += CROWDED_PART * (batch / entry.slots) * usual.callMs;
  cost += loads.failureRate(entry.id, choice.nowMs) * FAILED_CALLS * usual.callMs;
  if (entry.zone !== choice.zone) cost += OTHER_ZONE_PART * usual.callMs;
  return choice.nowMs < avoidUntilMs ? cost + AVOIDED_COST_MS : cost;
}

/**
 * Time until the call is over.
 *
 * @param heldUp requests that wait while the prompt is read, itself among them: it counts once for each
 */
function timeMs(
  { entry, pace }: RunnerCandidate,
  { preferred, nowMs }: RunnerChoice,
  loads: RunnerLoads,
  { paceMs, callMs, readMs }: PoolCosts,
  heldUp: number,
): number {
  const load = loads.load(entry.id);
  const batch = Math.min(1, load / entry.slots);
  const waiting = expectedBeyond(load + 1 - entry.slots) / entry.slots;
  let atUsualMs = callMs * (1 + FULL_BATCH_PART * batch + waiting);
  if (preferred !== undefined && preferred !== entry.id) atUsualMs += readMs * heldUp;
  return atUsualMs * bounded(pace.slowness(paceMs, nowMs));
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
function expectedBeyond(beyond: number): number {
  if (beyond >= UNCERTAIN_REQUESTS) return beyond;
  if (beyond <= -UNCERTAIN_REQUESTS) return 0;
  return (beyond + UNCERTAIN_REQUESTS) ** 2 / (4 * UNCERTAIN_REQUESTS);
}

function bounded(slowness: number): number {
  return Math.min(MOST_SLOWNESS, Math.max(1 / MOST_SLOWNESS, slowness));
}
