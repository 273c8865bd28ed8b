/**
 * What one node believes of the runners: the platform's list, requests in flight from here and, from heartbeats,
 * from the other nodes, and what this node has met itself. Pure: time comes in as a value.
 */
import type { RunnerEntry } from "./runner-entry.ts";

/** How long a runner that refused a connection, or left, is passed over, in ms. */
const AVOID_MS = 1_000;
/** Cost of a runner that is being avoided: taken only when nothing else is left. */
const AVOIDED_COST = 1_000_000;
/** What distance costs, as a share of a slot. */
const OTHER_ZONE_COST = 0.3;
/** What a prompt costs that is not cached yet, as a share of all slots. */
const COLD_PROMPT_COST = 0.35;
/** What each request beyond the slots costs, as a share of all slots. */
const QUEUED_COST = 4;

interface RunnerState {
  entry: RunnerEntry;
  inFlight: number;
  avoidUntilMs: number;
  leaving: boolean;
}

/** What a choice depends on. */
export interface RunnerChoice {
  readonly pool: string;
  /** The zone of this node. */
  readonly zone: string;
  /** Runners that this request has met already. */
  readonly excluded: ReadonlySet<string>;
  /** Runner that holds most of the prompt, if any is known to. */
  readonly preferred: string | undefined;
  readonly nowMs: number;
  /** Breaks ties: a number in [0, 1). */
  readonly sample: number;
}

/** See the module's comment. */
export class RunnerBoard {
  readonly #runners = new Map<string, RunnerState>();
  /** Requests of other nodes, by node and runner. */
  readonly #reports = new Map<string, ReadonlyMap<string, number>>();

  /** Takes in a new or changed entry of the list. */
  upsert(entry: RunnerEntry): void {
    const known = this.#runners.get(entry.id);
    if (known) known.entry = entry;
    else this.#runners.set(entry.id, { entry, inFlight: 0, avoidUntilMs: 0, leaving: false });
  }

  /** Takes out an entry that is gone from the list. */
  remove(id: string): void {
    this.#runners.delete(id);
  }

  /** Replaces the whole list. */
  replace(entries: readonly RunnerEntry[]): void {
    const kept = new Set(entries.map((entry) => entry.id));
    for (const id of [...this.#runners.keys()]) if (!kept.has(id)) this.#runners.delete(id);
    for (const entry of entries) this.upsert(entry);
  }

  /** Whether a runner is in the list, ready or not. */
  listed(id: string): boolean {
    return this.#runners.has(id);
  }

  /** The entry of a runner that may take new work. */
  ready(id: string): RunnerEntry | undefined {
    const state = this.#runners.get(id);
    return state && isReady(state) ? state.entry : undefined;
  }

  /** All entries. */
  entries(): RunnerEntry[] {
    return [...this.#runners.values()].map((state) => state.entry);
  }

  /** The best runner for a request; undefined when none may take it. */
  choose(choice: RunnerChoice): RunnerEntry | undefined {
    let best: RunnerState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    const candidates = this.#candidates(choice);
    const start = Math.floor(choice.sample * candidates.length);
    for (let index = 0; index < candidates.length; index += 1) {
      const state = candidates[(start + index) % candidates.length] as RunnerState;
      const cost = this.#costOf(state, choice);
      if (cost < bestCost) {
        best = state;
        bestCost = cost;
      }
    }
    return best?.entry;
  }

  /** Requests under way at a runner, as far as known. */
  load(id: string): number {
    const state = this.#runners.get(id);
    let sum = state?.inFlight ?? 0;
    for (const report of this.#reports.values()) sum += report.get(id) ?? 0;
    return sum;
  }

  /** Counts a request that leaves for a runner; call {@link ended} when it is over. */
  started(id: string): void {
    const state = this.#runners.get(id);
    if (state) state.inFlight += 1;
  }

  /** Counts the end of a request. */
  ended(id: string): void {
    const state = this.#runners.get(id);
    if (state && state.inFlight > 0) state.inFlight -= 1;
  }

  /** Passes over a runner for a while, after it refused a connection or was full. */
  avoid(id: string, nowMs: number): void {
    const state = this.#runners.get(id);
    if (state) state.avoidUntilMs = nowMs + AVOID_MS;
  }

  /** A runner turned out to be another one, or is on its way out: it takes no new work any more. */
  markLeaving(id: string): void {
    const state = this.#runners.get(id);
    if (state) state.leaving = true;
  }

  /** Requests of this node in flight, for the heartbeat. */
  inFlight(): [string, number][] {
    const counts: [string, number][] = [];
    for (const [id, state] of this.#runners) if (state.inFlight > 0) counts.push([id, state.inFlight]);
    return counts;
  }

  /** Takes in what another node has in flight. */
  report(node: string, counts: readonly (readonly [string, number])[]): void {
    this.#reports.set(node, new Map(counts));
  }

  /** Drops what a node that is gone had in flight. */
  dropReport(node: string): void {
    this.#reports.delete(node);
  }

  #candidates(choice: RunnerChoice): RunnerState[] {
    const candidates: RunnerState[] = [];
    for (const state of this.#runners.values()) {
      const { entry } = state;
      if (entry.pool === choice.pool && isReady(state) && !choice.excluded.has(entry.id))
        candidates.push(state);
    }
    return candidates;
  }

  #costOf(state: RunnerState, choice: RunnerChoice): number {
    const { entry } = state;
    const load = this.load(entry.id);
    const beyond = Math.max(0, load + 1 - entry.slots);
    let cost = (load + beyond * QUEUED_COST) / entry.slots;
    if (entry.zone !== choice.zone) cost += OTHER_ZONE_COST;
    if (choice.preferred !== undefined && choice.preferred !== entry.id) cost += COLD_PROMPT_COST;
    if (choice.nowMs < state.avoidUntilMs) cost += AVOIDED_COST;
    return cost;
  }
}

function isReady(state: RunnerState): boolean {
  return state.entry.state === "ready" && !state.leaving;
}
