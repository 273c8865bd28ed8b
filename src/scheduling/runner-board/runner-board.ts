/**
 * What one node believes of the runners: the platform's list, requests in flight from here and, from heartbeats,
 * from the other nodes, and what this node has met itself. Pure: time comes in as a value.
 */
import type { RunnerId } from "../ids/runner-id.ts";
import type { NodeReport } from "./node-report.ts";
import type { PendingRequest } from "./pending-request.ts";
import { ReportTotals } from "./report-totals.ts";
import type { RequestOutcome } from "./request-outcome.ts";
import type { RunnerEntry } from "./runner-entry.ts";
import { RunnerHealth } from "./runner-health.ts";

/** How long a runner that refused a connection, or left, is passed over, in ms. */
const AVOID_MS = 1_000;
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
/** Outcomes that are assumed to have been good, so that one failure alone says little. */
const ASSUMED_SUCCESSES = 2;
/** What a runner costs for each time that its steps take as long again as those of the pool. */
const SLOW_COST = 0.25;
/** A pace up to this many times as slow as the pool's costs nothing. */
const TOLERATED_SLOWNESS = 2;
const MAX_SLOW_COST = 2;
/** Runners with less than this of failures are not worth a report. */
const MIN_REPORTED_FAILURES = 0.2;
/** How far an outlier's part of failures lies above that of the others. */
const OUTLIER_MARGIN = 0.25;
/** How long a report counts, in ms. */
const REPORT_TTL_MS = 3_000;
/** How long the usual pace of a pool counts, in ms. */
const PACE_TTL_MS = 200;
const REPORT_DIGITS = 10;
/** Weight of the newest request in how long requests usually take. */
const USUAL_WEIGHT = 0.1;

interface RunnerState {
  entry: RunnerEntry;
  readonly health: RunnerHealth;
  avoidUntilMs: number;
  leaving: boolean;
}

/** How long runners of a pool usually take for a step, as of a moment. */
interface UsualPace {
  readonly atMs: number;
  readonly paceMs: number;
}

/** What a choice depends on. */
export interface RunnerChoice {
  readonly pool: string;
  /** The zone of this node. */
  readonly zone: string;
  /** Runners that this request has met already. */
  readonly excluded: ReadonlySet<RunnerId>;
  /** Runner that holds most of the prompt, if any is known to. */
  readonly preferred: RunnerId | undefined;
  readonly nowMs: number;
  /** Breaks ties: a number in [0, 1). */
  readonly sample: number;
  /** Runners that may be chosen; all of the pool when left out. */
  readonly mayTake?: (runner: RunnerEntry) => boolean;
}

/** See the module's comment. */
export class RunnerBoard {
  readonly #runners = new Map<RunnerId, RunnerState>();
  /** What other nodes tell. */
  readonly #reports = new ReportTotals(REPORT_TTL_MS);
  /** By pool. */
  readonly #usualPaces = new Map<string, UsualPace>();
  /** How long requests of a pool that went well took lately, in ms. */
  readonly #usualMs = new Map<string, number>();

  /** Adds or updates an entry of the list. */
  upsert(entry: RunnerEntry): void {
    const known = this.#runners.get(entry.id);
    if (known) known.entry = entry;
    else this.#runners.set(entry.id, { entry, health: new RunnerHealth(), avoidUntilMs: 0, leaving: false });
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
    let best: RunnerState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    const candidates = this.#candidates(choice);
    const usualMs = this.#usualPaceMs(candidates, choice);
    const start = Math.floor(choice.sample * candidates.length);
    for (let index = 0; index < candidates.length; index += 1) {
      const state = candidates[(start + index) % candidates.length] as RunnerState;
      const cost = this.#costOf(state, choice, usualMs);
      if (cost < bestCost) {
        best = state;
        bestCost = cost;
      }
    }
    return best?.entry;
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
    let slots = 0;
    let load = 0;
    for (const state of this.#runners.values()) {
      const { entry } = state;
      if (entry.pool !== pool || !isReady(state)) continue;
      slots += entry.slots;
      load += this.load(entry.id);
    }
    return slots === 0 ? 0 : load / slots;
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

  /** Records how long a runner took for one step of its work, in ms. */
  paced(runner: RunnerId, stepMs: number, nowMs: number): void {
    this.#runners.get(runner)?.health.pace(stepMs, nowMs);
  }

  /** Counts the end of a request. */
  ended(pending: PendingRequest, outcome: RequestOutcome, nowMs: number): void {
    const state = this.#runners.get(pending.runner);
    if (!state) return;
    state.health.end(pending, outcome, nowMs);
    if (outcome !== "success") return;
    const { pool } = state.entry;
    const tookMs = nowMs - pending.startedAtMs;
    const before = this.#usualMs.get(pool) ?? tookMs;
    this.#usualMs.set(pool, before + (tookMs - before) * USUAL_WEIGHT);
  }

  /** How long a request of a pool usually takes, in ms; undefined when none was seen here. */
  usualMs(pool: string): number | undefined {
    return this.#usualMs.get(pool);
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
    return leased.length === 0 ? { inFlight, failing } : { inFlight, leased, failing };
  }

  /** Records another node's report. */
  report(node: string, report: NodeReport, nowMs: number): void {
    this.#reports.set(node, report, nowMs);
  }

  /** The reports of some nodes, as one. */
  sumReports(nodes: readonly string[]): NodeReport {
    return this.#reports.sum(nodes);
  }

  /** Drops what a node that is gone had in flight. */
  dropReport(node: string): void {
    this.#reports.delete(node);
  }

  /** The median pace of the candidates, looked at only now and then: it changes slowly. */
  #usualPaceMs(candidates: readonly RunnerState[], { pool, nowMs }: RunnerChoice): number | undefined {
    const known = this.#usualPaces.get(pool);
    if (known && nowMs - known.atMs < PACE_TTL_MS) return known.paceMs;
    const paceMs = usualPaceMs(candidates, nowMs);
    if (paceMs !== undefined) this.#usualPaces.set(pool, { atMs: nowMs, paceMs });
    return paceMs;
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
    const own = this.#runners.get(id)?.health.counts(nowMs);
    const others = this.#reports.outcomes(id);
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

  #costOf(state: RunnerState, choice: RunnerChoice, usualMs: number | undefined): number {
    const { entry } = state;
    const load = this.load(entry.id);
    const beyond = Math.max(0, load + 1 - entry.slots);
    let cost = (load + beyond * QUEUED_COST) / entry.slots;
    if (entry.zone !== choice.zone) cost += OTHER_ZONE_COST;
    if (choice.preferred !== undefined && choice.preferred !== entry.id) cost += COLD_PROMPT_COST;
    if (choice.nowMs < state.avoidUntilMs) cost += AVOIDED_COST;
    cost += this.failureRate(entry.id, choice.nowMs) * FAILING_COST;
    return cost + slownessCost(state.health.paceMs(choice.nowMs), usualMs);
  }
}

function isReady(state: RunnerState): boolean {
  return state.entry.state === "ready" && !state.leaving;
}

/** The median pace of the candidates; undefined when too few are known. */
function usualPaceMs(candidates: readonly RunnerState[], nowMs: number): number | undefined {
  const times = candidates.flatMap(({ health }) => health.paceMs(nowMs) ?? []);
  times.sort((left, right) => left - right);
  return times.length >= 2 ? times[Math.floor((times.length - 1) / 2)] : undefined;
}

function slownessCost(paceMs: number | undefined, usualMs: number | undefined): number {
  if (paceMs === undefined || usualMs === undefined || usualMs <= 0) return 0;
  const beyond = Math.max(0, paceMs / usualMs - TOLERATED_SLOWNESS);
  return Math.min(MAX_SLOW_COST, beyond * SLOW_COST);
}

function rounded(count: number): number {
  return Math.round(count * REPORT_DIGITS) / REPORT_DIGITS;
}
