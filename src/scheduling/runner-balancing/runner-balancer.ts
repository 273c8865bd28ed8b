/**
 * What one node believes of the runners: the platform's list, requests in flight from here and, from heartbeats,
 * from the other nodes, and what this node has met itself. Pure: time comes in as a value.
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

/** How long a runner that refused a connection, or left, is passed over, in ms. */
const AVOID_MS = 1_000;
/** Outcomes that are assumed to have been good, so that one failure alone says little. */
const ASSUMED_SUCCESSES = 2;
/** Runners with less than this of failures are not worth a report. */
const MIN_REPORTED_FAILURES = 0.2;
/** How far an outlier's part of failures lies above that of the others. */
const OUTLIER_MARGIN = 0.25;
/** How long a report counts, in ms. */
const REPORT_TTL_MS = 3_000;
/** Paces of runners that were used since then are told to other nodes, in ms: about twice, with heartbeats. */
const REPORTED_PACE_MAX_AGE_MS = 1_000;
/** Reports of several nodes come together: what they tell of a runner is taken in once in this time, in ms. */
const MIN_PACE_UPDATE_INTERVAL_MS = 200;
/** Paces from here on are told as whole numbers, in ms: what is lost is less than they vary from call to call. */
const MIN_INTEGER_PACE_MS = 10;
const TENTHS = 10;
/** Weight of the newest request in how long requests usually take. */
const NEWEST_REQUEST_WEIGHT = 0.1;

interface RunnerState extends RunnerCandidate {
  entry: RunnerEntry;
  avoidUntilMs: number;
  leaving: boolean;
}

/** See the module's comment. */
export class RunnerBalancer implements RunnerLoads {
  readonly #costModel: RunnerCostModel;
  readonly #runners = new Map<RunnerId, RunnerState>();
  /** What other nodes tell. */
  readonly #reports = new ReportTotals(REPORT_TTL_MS);
  /** How long requests of a pool that went well took lately, in ms. */
  readonly #averageMs = new Map<string, MovingAverage>();

  /** @param costModel how runners are weighed against each other */
  constructor(costModel: RunnerCostModel = new CostByLoad()) {
    this.#costModel = costModel;
  }

  /** Adds or updates an entry of the list. */
  upsert(entry: RunnerEntry): void {
    const known = this.#runners.get(entry.id);
    if (known) known.entry = entry;
    else this.#runners.set(entry.id, newState(entry));
  }

  /** Removes an entry that is gone from the list. */
  remove(id: RunnerId): void {
    this.#runners.delete(id);
  }

  /** Whether a runner is in the list, ready or not. */
  isListed(id: RunnerId): boolean {
    return this.#runners.has(id);
  }

  /** The entry of a runner that may take new work. */
  ready(id: RunnerId): RunnerEntry | undefined {
    const state = this.#runners.get(id);
    return state && isReady(state) ? state.entry : undefined;
  }

  /** All entries. */
  entries(): RunnerEntry[] {
    return [...this.#runners.values()].map((state) => state.entry);
  }

  /** The best runner for a request; undefined when none may take it. */
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

  /** In how many ms a request is expected to be over at a runner; undefined where that is not estimated. */
  expectedMs(id: RunnerId, criteria: RunnerCriteria): number | undefined {
    const state = this.#runners.get(id);
    return state && this.#costModel.expectedMs(state, criteria, this);
  }

  /** Requests under way at a runner, as far as known. */
  load(id: RunnerId): number {
    return this.ownLoad(id) + this.#reports.inFlight(id);
  }

  /** Requests of this node under way at a runner. */
  ownLoad(id: RunnerId): number {
    return this.#runners.get(id)?.health.inFlight ?? 0;
  }

  /** Requests under way at a runner that no dispatcher has placed, as far as known. */
  unplaced(id: RunnerId): number {
    const health = this.#runners.get(id)?.health;
    const own = health ? health.inFlight - health.leased : 0;
    return own + this.#reports.inFlight(id) - this.#reports.leased(id);
  }

  /** Drops reports of other nodes that are too old to count; a choice does so by itself. */
  dropStale(nowMs: number): void {
    this.#reports.dropStale(nowMs);
  }

  /**
   * Requests under way at the runners of a pool, as far as known, as a share of the places that they have: beyond 1 some
   * wait. 0 where the pool has no runner.
   */
  occupancy(pool: string): number {
    const { slots, load } = this.poolLoad(pool);
    return slots === 0 ? 0 : load / slots;
  }

  /** Places of the runners of a pool that take new work, and requests under way there, as far as known. */
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
   * Counts a request that leaves for a runner; call {@link recordEnd} when it is over.
   *
   * @param patienceMs silence after which the request speaks against the runner, in ms
   * @param isLeased whether a dispatcher has placed it
   */
  recordStart(runner: RunnerId, nowMs: number, patienceMs: number, isLeased = false): PendingRequest {
    const pending = { runner, startedAtMs: nowMs, patienceMs, isLeased, answered: false };
    this.#runners.get(runner)?.health.begin(pending);
    return pending;
  }

  /** Takes in how long a call took that went well. */
  recordTiming(runner: RunnerId, timing: CallTiming, nowMs: number): void {
    const state = this.#runners.get(runner);
    if (!state) return;
    state.health.recordPace(this.#costModel.observe(state, timing, nowMs), nowMs);
    if (this.#costModel.sharesPaces) this.#updatePace(state, nowMs);
  }

  /** Counts the end of a request. */
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

  /** How long a request of a pool usually takes, in ms; undefined while fewer than `leastRequests` were seen here. */
  averageMs(pool: string, minRequests: number): number | undefined {
    const average = this.#averageMs.get(pool);
    return average && average.count >= minRequests ? average.value : undefined;
  }

  /** Passes over a runner for a while, after it refused a connection or was full. */
  avoid(id: RunnerId, nowMs: number): void {
    const state = this.#runners.get(id);
    if (state) state.avoidUntilMs = nowMs + AVOID_MS;
  }

  /** A runner turned out to be another one, or is on its way out: it takes no new work any more. */
  markLeaving(id: RunnerId): void {
    const state = this.#runners.get(id);
    if (state) state.leaving = true;
  }

  /** This node's report to the others, for the heartbeat. */
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

  /** Records another node's report. */
  recordReport(source: string, report: LoadReport, nowMs: number): void {
    this.#reports.set(source, report, nowMs);
    if (!this.#costModel.sharesPaces) return;
    for (const [id] of report.paces ?? []) {
      const state = this.#runners.get(id);
      if (state && nowMs - state.pace.updatedAtMs >= MIN_PACE_UPDATE_INTERVAL_MS)
        this.#updatePace(state, nowMs);
    }
  }

  /** The reports of some nodes, as one. */
  sumReports(sources: readonly string[]): LoadReport {
    return this.#reports.sum(sources);
  }

  /** Drops what a node that is gone had in flight. */
  dropReport(source: string): void {
    this.#reports.delete(source);
  }

  /** Of what this node and the others have seen lately, the median counts: one that is slow itself defames nobody. */
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

  /** Part of the requests of the last seconds that failed at a runner, as all nodes see it: 0 to 1. */
  failureRate(id: RunnerId, nowMs: number): number {
    const health = this.#runners.get(id)?.health;
    const others = this.#reports.outcomes(id);
    if (!health?.hasFailures(nowMs) && others.failures === 0) return 0;
    const own = health?.counts(nowMs);
    const successes = (own?.successes ?? 0) + others.successes;
    const failures = (own?.failures ?? 0) + others.failures;
    return failures / (failures + successes + ASSUMED_SUCCESSES);
  }

  /** Whether requests fail at a runner while they go well at most others of its pool. */
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

/** The candidates from a random one on; or some of them, drawn evenly over their order, and the preferred one. */
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
