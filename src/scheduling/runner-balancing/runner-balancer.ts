/**
 * Balances the calls of one gateway over the runners. It knows the platform's list of runners, the requests in flight from
 * this gateway and, from heartbeats, from the other gateways, and the outcomes and paces that this gateway has observed.
 * Pure: time is passed in as a value.
 */
import type { RunnerId } from "../ids/runner-id.ts";
import type { CallTiming } from "./call-timing.ts";
import { CostByLoad } from "./cost-by-load.ts";
import type { LoadReport } from "./load-report.ts";
import { median } from "./median.ts";
import { MovingAverage } from "./moving-average.ts";
import type { PendingRequest } from "./pending-request.ts";
import type { PoolLoad } from "./pool-load.ts";
import { ReportTotals } from "./report-totals.ts";
import type { RequestOutcome } from "./request-outcome.ts";
import type { RunnerCandidate } from "./runner-candidate.ts";
import type { RunnerCostModel } from "./runner-cost-model.ts";
import type { RunnerCriteria } from "./runner-criteria.ts";
import type { RunnerEntry } from "./runner-entry.ts";
import { RunnerHealth } from "./runner-health.ts";
import type { RunnerLoads } from "./runner-loads.ts";
import { RunnerPace } from "./runner-pace.ts";

/** How long a runner is avoided after it refused a connection or a request, or left, in ms. */
const AVOID_MS = 1_000;
/** Number of successes that are added to the counted outcomes, so that a single failure has little effect. */
const ASSUMED_SUCCESSES = 2;
/** Runners with fewer failures than this are left out of the reported outcomes. */
const MIN_REPORTED_FAILURES = 0.2;
/** How far the failure rate of an outlier lies above the median of the other runners. */
const OUTLIER_MARGIN = 0.25;
/** How long a report of another gateway is valid, in ms. */
const REPORT_TTL_MS = 3_000;
/**
 * Maximum age of a pace that is reported to other gateways, in ms. Reports are sent with heartbeats, so that each pace is
 * reported about twice.
 */
const REPORTED_PACE_MAX_AGE_MS = 1_000;
/**
 * Minimum time between two updates of a runner's pace from reports, in ms: the reports of several gateways arrive together
 * and are taken into account at once.
 */
const MIN_PACE_UPDATE_INTERVAL_MS = 200;
/** Paces of at least this are reported as integers, in ms: the rounding error is less than calls vary by. */
const MIN_INTEGER_PACE_MS = 10;
/** Other reported numbers are rounded to tenths. */
const TENTHS = 10;
/** Weight of the newest request in the average duration of requests. */
const NEWEST_REQUEST_WEIGHT = 0.1;

interface RunnerState extends RunnerCandidate {
  entry: RunnerEntry;
  avoidUntilMs: number;
  leaving: boolean;
}

/** Keeps what a gateway knows about each runner, and chooses the runner for a request. */
export class RunnerBalancer implements RunnerLoads {
  readonly #costModel: RunnerCostModel;
  readonly #runners = new Map<RunnerId, RunnerState>();
  /** Load reports of the other gateways. */
  readonly #reports = new ReportTotals(REPORT_TTL_MS);
  /** Average duration of recent successful requests in ms, keyed by pool. */
  readonly #averageMs = new Map<string, MovingAverage>();

  /** @param costModel computes the costs by which runners are compared */
  constructor(costModel: RunnerCostModel = new CostByLoad()) {
    this.#costModel = costModel;
  }

  /** Adds or updates a runner of the platform's list. */
  upsert(entry: RunnerEntry): void {
    const known = this.#runners.get(entry.id);
    if (known) known.entry = entry;
    else this.#runners.set(entry.id, newState(entry));
  }

  /** Removes a runner that is no longer in the platform's list. */
  remove(id: RunnerId): void {
    this.#runners.delete(id);
  }

  /** Whether a runner is in the platform's list, ready or not. */
  isListed(id: RunnerId): boolean {
    return this.#runners.has(id);
  }

  /** The entry of a runner; undefined unless the runner is listed and accepts new requests. */
  ready(id: RunnerId): RunnerEntry | undefined {
    const state = this.#runners.get(id);
    return state && isReady(state) ? state.entry : undefined;
  }

  /** The entries of all listed runners, ready or not. */
  entries(): RunnerEntry[] {
    return [...this.#runners.values()].map((state) => state.entry);
  }

  /** Returns the runner with the lowest cost for a request; undefined if there is no candidate. */
  choose(criteria: RunnerCriteria): RunnerEntry | undefined {
    this.#reports.dropStale(criteria.nowMs);
    const candidates = this.#candidates(criteria);
    if (candidates.length === 0) return undefined;
    const costOf = this.#costModel.costFunction(candidates, criteria, this);
    let best: RunnerState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const [index, state] of drawCandidates(
      candidates,
      this.#costModel.maxCandidates,
      criteria,
    ).entries()) {
      const cost = costOf(state, index);
      if (cost < bestCost) {
        best = state;
        bestCost = cost;
      }
    }
    return best?.entry;
  }

  /** Expected time to complete a request at a runner, in ms; undefined if the cost model does not estimate it. */
  expectedMs(id: RunnerId, criteria: RunnerCriteria): number | undefined {
    const state = this.#runners.get(id);
    return state && this.#costModel.expectedMs(state, criteria, this);
  }

  /** Requests in flight at a runner from all gateways, as far as known. */
  load(id: RunnerId): number {
    return this.ownLoad(id) + this.#reports.inFlight(id);
  }

  /** Requests in flight at a runner from this gateway. */
  ownLoad(id: RunnerId): number {
    return this.#runners.get(id)?.health.inFlight ?? 0;
  }

  /** Requests in flight at a runner that were not placed by a dispatcher, as far as known. */
  unplaced(id: RunnerId): number {
    const health = this.#runners.get(id)?.health;
    const own = health ? health.inFlight - health.leased : 0;
    return own + this.#reports.inFlight(id) - this.#reports.leased(id);
  }

  /** Deletes reports of other gateways that are too old. {@link choose} does so as well. */
  dropStale(nowMs: number): void {
    this.#reports.dropStale(nowMs);
  }

  /**
   * Requests in flight at the runners of a pool, as far as known, as a share of their slots: above 1, some requests are
   * waiting. 0 if the pool has no runner that accepts new requests.
   */
  occupancy(pool: string): number {
    const { slots, load } = this.poolLoad(pool);
    return slots === 0 ? 0 : load / slots;
  }

  /** Slots of the runners of a pool that accept new requests, and requests in flight there, as far as known. */
  poolLoad(pool: string): PoolLoad {
    let slots = 0;
    let load = 0;
    for (const state of this.#runners.values()) {
      const { entry } = state;
      if (entry.pool !== pool || !isReady(state)) continue;
      slots += entry.slots;
      load += this.load(entry.id);
    }
    return { slots, load };
  }

  /**
   * Counts a request that is sent to a runner. Call {@link recordEnd} when it is complete.
   *
   * @param patienceMs time without an answer after which the request counts as a failure of the runner, in ms
   * @param isLeased whether a dispatcher placed the request
   */
  recordStart(runner: RunnerId, nowMs: number, patienceMs: number, isLeased = false): PendingRequest {
    const pending = { runner, startedAtMs: nowMs, patienceMs, isLeased, answered: false };
    this.#runners.get(runner)?.health.begin(pending);
    return pending;
  }

  /** Records how long a successful call took. */
  recordTiming(runner: RunnerId, timing: CallTiming, nowMs: number): void {
    const state = this.#runners.get(runner);
    if (!state) return;
    state.health.recordPace(this.#costModel.observe(state, timing, nowMs), nowMs);
    if (this.#costModel.sharesPaces) this.#updatePace(state, nowMs);
  }

  /** Records the end of a request. */
  recordEnd(pending: PendingRequest, outcome: RequestOutcome, nowMs: number): void {
    const state = this.#runners.get(pending.runner);
    if (!state) return;
    state.health.end(pending, outcome, nowMs);
    if (outcome !== "success") return;
    const { pool } = state.entry;
    const average = this.#averageMs.get(pool) ?? new MovingAverage(NEWEST_REQUEST_WEIGHT);
    this.#averageMs.set(pool, average);
    average.add(nowMs - pending.startedAtMs);
  }

  /** Average duration of successful requests to a pool, in ms; undefined if this gateway made fewer than `minRequests`. */
  averageMs(pool: string, minRequests: number): number | undefined {
    const average = this.#averageMs.get(pool);
    return average && average.count >= minRequests ? average.value : undefined;
  }

  /** Avoids a runner for a while, after it refused a connection or was full. */
  avoid(id: RunnerId, nowMs: number): void {
    const state = this.#runners.get(id);
    if (state) state.avoidUntilMs = nowMs + AVOID_MS;
  }

  /** Excludes a runner from new requests, because its address belongs to another runner now, or because it is leaving. */
  markLeaving(id: RunnerId): void {
    const state = this.#runners.get(id);
    if (state) state.leaving = true;
  }

  /** The report of this gateway to the others, sent with the heartbeat. */
  ownReport(nowMs: number): LoadReport {
    const inFlight: [RunnerId, number][] = [];
    const leased: [RunnerId, number][] = [];
    const failing: [RunnerId, number, number][] = [];
    for (const [id, { health }] of this.#runners) {
      if (health.inFlight > 0) inFlight.push([id, health.inFlight]);
      if (health.leased > 0) leased.push([id, health.leased]);
      const { successes, failures } = health.counts(nowMs);
      if (failures >= MIN_REPORTED_FAILURES)
        failing.push([id, roundToTenth(successes), roundToTenth(failures)]);
    }
    const paces = this.#costModel.sharesPaces ? this.#ownPaces(nowMs) : [];
    return {
      inFlight,
      failing,
      ...(leased.length === 0 ? {} : { leased }),
      ...(paces.length === 0 ? {} : { paces }),
    };
  }

  /** Stores the report of another gateway. */
  recordReport(source: string, report: LoadReport, nowMs: number): void {
    this.#reports.set(source, report, nowMs);
    if (!this.#costModel.sharesPaces) return;
    for (const [id] of report.paces ?? []) {
      const state = this.#runners.get(id);
      if (state && nowMs - state.pace.updatedAtMs >= MIN_PACE_UPDATE_INTERVAL_MS)
        this.#updatePace(state, nowMs);
    }
  }

  /** Merges the reports of some sources into one. */
  sumReports(sources: readonly string[]): LoadReport {
    return this.#reports.sum(sources);
  }

  /** Deletes the report of a gateway that is gone. */
  dropReport(source: string): void {
    this.#reports.delete(source);
  }

  /**
   * Updates the pace of a runner with the median of the paces that this gateway and the others observed recently, so that one
   * gateway that is slow itself does not make the runner appear slow.
   */
  #updatePace({ entry, health, pace }: RunnerState, nowMs: number): void {
    const paces = this.#reports.pacesMs(entry.id);
    const own = health.paceMs(nowMs);
    if (own !== undefined) paces.push(own);
    const paceMs = median(paces);
    if (paceMs !== undefined) pace.update(paceMs, paces.length, nowMs);
  }

  #ownPaces(nowMs: number): [RunnerId, number][] {
    const paces: [RunnerId, number][] = [];
    for (const [id, { health }] of this.#runners) {
      const paceMs = health.paceMs(nowMs);
      if (paceMs !== undefined && nowMs - health.paceUpdatedAtMs <= REPORTED_PACE_MAX_AGE_MS)
        paces.push([id, roundPace(paceMs)]);
    }
    return paces;
  }

  #candidates(criteria: RunnerCriteria): RunnerState[] {
    const candidates: RunnerState[] = [];
    for (const state of this.#runners.values()) {
      const { entry } = state;
      if (entry.pool !== criteria.pool || !isReady(state) || criteria.excluded.has(entry.id)) continue;
      if (criteria.mayTake?.(entry) ?? true) candidates.push(state);
    }
    return candidates;
  }

  /** Fraction of the requests of the last seconds that failed at a runner, from 0 to 1, over all gateways. */
  failureRate(id: RunnerId, nowMs: number): number {
    const health = this.#runners.get(id)?.health;
    const others = this.#reports.outcomes(id);
    if (!health?.hasFailures(nowMs) && others.failures === 0) return 0;
    const own = health?.counts(nowMs);
    const successes = (own?.successes ?? 0) + others.successes;
    const failures = (own?.failures ?? 0) + others.failures;
    return failures / (failures + successes + ASSUMED_SUCCESSES);
  }

  /** Whether requests fail at a runner while they succeed at most other runners of its pool. */
  isOutlier(id: RunnerId, nowMs: number): boolean {
    const pool = this.#runners.get(id)?.entry.pool;
    const others = [...this.#runners.values()].filter(
      (state) => state.entry.pool === pool && state.entry.id !== id && isReady(state),
    );
    if (others.length === 0) return false;
    const rates = others.map((state) => this.failureRate(state.entry.id, nowMs));
    rates.sort((left, right) => left - right);
    const medianRate = rates[Math.floor(rates.length / 2)] ?? 0;
    return this.failureRate(id, nowMs) >= medianRate + OUTLIER_MARGIN;
  }
}

function newState(entry: RunnerEntry): RunnerState {
  return {
    entry,
    health: new RunnerHealth(),
    pace: new RunnerPace(),
    avoidUntilMs: 0,
    leaving: false,
  };
}

/**
 * Returns all candidates, starting at a random one; or, if there are more than `maxCount`, that many at equal distances from
 * a random start, and the preferred one.
 */
function drawCandidates(
  candidates: readonly RunnerState[],
  maxCount: number,
  { sample, preferred }: RunnerCriteria,
): RunnerState[] {
  const { length } = candidates;
  const start = Math.floor(sample * length);
  if (length <= maxCount) return [...candidates.slice(start), ...candidates.slice(0, start)];
  const selected = Array.from({ length: maxCount }, (_, index) => {
    return candidates[(start + Math.floor((index * length) / maxCount)) % length] as RunnerState;
  });
  const preferredState = candidates.find(({ entry }) => entry.id === preferred);
  return preferredState === undefined || selected.includes(preferredState)
    ? selected
    : [...selected, preferredState];
}

function isReady(state: RunnerState): boolean {
  return state.entry.state === "ready" && !state.leaving;
}

function roundToTenth(count: number): number {
  return Math.round(count * TENTHS) / TENTHS;
}

function roundPace(paceMs: number): number {
  return paceMs >= MIN_INTEGER_PACE_MS ? Math.round(paceMs) : roundToTenth(paceMs);
}
