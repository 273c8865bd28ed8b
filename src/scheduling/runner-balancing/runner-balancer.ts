/**
 * What one node believes of the runners: the platform's list, requests in flight from here and, from heartbeats,
 * from the other nodes, and what this node has met itself. Pure: time comes in as a value.
 */
import type { RunnerId } from "../ids/runner-id.ts";
import type { CallTiming } from "./call-timing.ts";
import { CostByLoad } from "./cost-by-load.ts";
import type { NodeReport } from "./load-report.ts";
import { median } from "./median.ts";
import { MovingAverage } from "./moving-average.ts";
import type { PendingRequest } from "./pending-request.ts";
import type { PoolLoad } from "./pool-load.ts";
import { ReportTotals } from "./report-totals.ts";
import type { RequestOutcome } from "./request-outcome.ts";
import type { RunnerCandidate } from "./runner-candidate.ts";
import type { RunnerCost } from "./runner-cost-model.ts";
import type { RunnerChoice } from "./runner-criteria.ts";
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
const TOLD_PACE_MS = 1_000;
/** Reports of several nodes come together: what they tell of a runner is taken in once in this time, in ms. */
const LEARN_MS = 200;
/** Paces from here on are told as whole numbers, in ms: what is lost is less than they vary from call to call. */
const WHOLE_PACE_MS = 10;
const REPORT_DIGITS = 10;
/** Weight of the newest request in how long requests usually take. */
const USUAL_WEIGHT = 0.1;

interface RunnerState extends RunnerCandidate {
  entry: RunnerEntry;
  avoidUntilMs: number;
  leaving: boolean;
}

/** See the module's comment. */
export class RunnerBoard implements RunnerLoads {
  readonly #cost: RunnerCost;
  readonly #runners = new Map<RunnerId, RunnerState>();
  /** What other nodes tell. */
  readonly #reports = new ReportTotals(REPORT_TTL_MS);
  /** How long requests of a pool that went well took lately, in ms. */
  readonly #usualMs = new Map<string, MovingAverage>();

  /** @param cost how runners are weighed against each other */
  constructor(cost: RunnerCost = new CostByLoad()) {
    this.#cost = cost;
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
  listed(id: RunnerId): boolean {
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
  choose(choice: RunnerChoice): RunnerEntry | undefined {
    this.#reports.dropStale(choice.nowMs);
    const candidates = this.#candidates(choice);
    if (candidates.length === 0) return undefined;
    const costOf = this.#cost.among(candidates, choice, this);
    let best: RunnerState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const [index, state] of drawn(candidates, this.#cost.mostWeighed, choice).entries()) {
      const cost = costOf(state, index);
      if (cost < bestCost) {
        best = state;
        bestCost = cost;
      }
    }
    return best?.entry;
  }

  /** In how many ms a request is expected to be over at a runner; undefined where that is not estimated. */
  expectedMs(id: RunnerId, choice: RunnerChoice): number | undefined {
    const state = this.#runners.get(id);
    return state && this.#cost.expectedMs(state, choice, this);
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
   * Counts a request that leaves for a runner; call {@link ended} when it is over.
   *
   * @param patienceMs silence after which the request speaks against the runner, in ms
   * @param isLeased whether a dispatcher has placed it
   */
  started(runner: RunnerId, nowMs: number, patienceMs: number, isLeased = false): PendingRequest {
    const pending = { runner, startedAtMs: nowMs, patienceMs, isLeased, answered: false };
    this.#runners.get(runner)?.health.begin(pending);
    return pending;
  }

  /** Takes in how long a call took that went well. */
  timed(runner: RunnerId, timing: CallTiming, nowMs: number): void {
    const state = this.#runners.get(runner);
    if (!state) return;
    state.health.pace(this.#cost.observe(state, timing, nowMs), nowMs);
    if (this.#cost.sharesPaces) this.#learnPace(state, nowMs);
  }

  /** Counts the end of a request. */
  ended(pending: PendingRequest, outcome: RequestOutcome, nowMs: number): void {
    const state = this.#runners.get(pending.runner);
    if (!state) return;
    state.health.end(pending, outcome, nowMs);
    if (outcome !== "success") return;
    const { pool } = state.entry;
    const usual = this.#usualMs.get(pool) ?? new MovingAverage(USUAL_WEIGHT);
    this.#usualMs.set(pool, usual);
    usual.add(nowMs - pending.startedAtMs);
  }

  /** How long a request of a pool usually takes, in ms; undefined while fewer than `leastRequests` were seen here. */
  usualMs(pool: string, leastRequests: number): number | undefined {
    const usual = this.#usualMs.get(pool);
    return usual && usual.count >= leastRequests ? usual.value : undefined;
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
  ownReport(nowMs: number): NodeReport {
    const inFlight: [RunnerId, number][] = [];
    const leased: [RunnerId, number][] = [];
    const failing: [RunnerId, number, number][] = [];
    for (const [id, { health }] of this.#runners) {
      if (health.inFlight > 0) inFlight.push([id, health.inFlight]);
      if (health.leased > 0) leased.push([id, health.leased]);
      const { successes, failures } = health.counts(nowMs);
      if (failures >= MIN_REPORTED_FAILURES) failing.push([id, rounded(successes), rounded(failures)]);
    }
    const paces = this.#cost.sharesPaces ? this.#ownPaces(nowMs) : [];
    return {
      inFlight,
      failing,
      ...(leased.length === 0 ? {} : { leased }),
      ...(paces.length === 0 ? {} : { paces }),
    };
  }

  /** Records another node's report. */
  report(node: string, report: NodeReport, nowMs: number): void {
    this.#reports.set(node, report, nowMs);
    if (!this.#cost.sharesPaces) return;
    for (const [id] of report.paces ?? []) {
      const state = this.#runners.get(id);
      if (state && nowMs - state.pace.learnedAtMs >= LEARN_MS) this.#learnPace(state, nowMs);
    }
  }

  /** The reports of some nodes, as one. */
  sumReports(nodes: readonly string[]): NodeReport {
    return this.#reports.sum(nodes);
  }

  /** Drops what a node that is gone had in flight. */
  dropReport(node: string): void {
    this.#reports.delete(node);
  }

  /** Of what this node and the others have seen lately, the median counts: one that is slow itself defames nobody. */
  #learnPace({ entry, health, pace }: RunnerState, nowMs: number): void {
    const paces = this.#reports.pacesMs(entry.id);
    const own = health.paceMs(nowMs);
    if (own !== undefined) paces.push(own);
    const paceMs = median(paces);
    if (paceMs !== undefined) pace.learn(paceMs, paces.length, nowMs);
  }

  #ownPaces(nowMs: number): [RunnerId, number][] {
    const paces: [RunnerId, number][] = [];
    for (const [id, { health }] of this.#runners) {
      const paceMs = health.paceMs(nowMs);
      if (paceMs !== undefined && nowMs - health.pacedAtMs <= TOLD_PACE_MS)
        paces.push([id, roundedPace(paceMs)]);
    }
    return paces;
  }

  #candidates(choice: RunnerChoice): RunnerState[] {
    const candidates: RunnerState[] = [];
    for (const state of this.#runners.values()) {
      const { entry } = state;
      if (entry.pool !== choice.pool || !isReady(state) || choice.excluded.has(entry.id)) continue;
      if (choice.mayTake?.(entry) ?? true) candidates.push(state);
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
    const usual = rates[Math.floor(rates.length / 2)] ?? 0;
    return this.failureRate(id, nowMs) >= usual + OUTLIER_MARGIN;
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
function drawn(
  candidates: readonly RunnerState[],
  most: number,
  { sample, preferred }: RunnerChoice,
): RunnerState[] {
  const { length } = candidates;
  const start = Math.floor(sample * length);
  if (length <= most) return [...candidates.slice(start), ...candidates.slice(0, start)];
  const some = Array.from({ length: most }, (_, index) => {
    return candidates[(start + Math.floor((index * length) / most)) % length] as RunnerState;
  });
  const holder = candidates.find(({ entry }) => entry.id === preferred);
  return holder === undefined || some.includes(holder) ? some : [...some, holder];
}

function isReady(state: RunnerState): boolean {
  return state.entry.state === "ready" && !state.leaving;
}

function rounded(count: number): number {
  return Math.round(count * REPORT_DIGITS) / REPORT_DIGITS;
}

function roundedPace(paceMs: number): number {
  return paceMs >= WHOLE_PACE_MS ? Math.round(paceMs) : rounded(paceMs);
}
