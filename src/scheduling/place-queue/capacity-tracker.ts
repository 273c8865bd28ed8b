/** Which runners of a group have room for a call: places, and memory for its tokens. Pure. */
import type { RunnerId } from "../ids/runner-id.ts";
import type { RunnerEntry } from "../runner-board/runner-entry.ts";
import type { GroupCapacity } from "./group-capacity.ts";
import type { LeaseTable } from "./lease-table.ts";
import { MIN_CALLS_FOR_AVERAGE } from "./min-calls-for-average.ts";
import type { PlaceCall } from "./place-call.ts";
import type { RunnerBackoff } from "./runner-backoff.ts";
import type { RunnerGroup } from "./runner-group.ts";

/**
 * How long a place lies idle from the end of a call until the next one arrives, in ms: three messages between machines that
 * are busy. Runners get so much more work that they do not wait meanwhile.
 */
const HANDOVER_MS = 6;
/** Part of a runner's slots that may be handed out on top for it: more would wait there, ahead of what is more urgent. */
const MAX_EXTRA_RATIO = 0.25;

/** Requests at a runner when places began to be handed out. */
interface InitialLoad {
  /** Those that no dispatcher had placed: reports tell of their ends. */
  readonly undispatched: number;
  /** Those that a dispatcher before had placed. */
  readonly leased: number;
}

const NO_INITIAL_LOAD: InitialLoad = { undispatched: 0, leased: 0 };

/** See the module's comment. */
export class CapacityTracker {
  readonly #group: RunnerGroup;
  readonly #leases: LeaseTable;
  readonly #backoff: RunnerBackoff;
  readonly #maxReportAgeMs: number;
  #initialLoads: ReadonlyMap<RunnerId, InitialLoad> = new Map();
  #startedAtMs = Number.NEGATIVE_INFINITY;

  /** @param maxReportAgeMs how old what is told of requests that no dispatcher has placed may be */
  constructor(group: RunnerGroup, leases: LeaseTable, backoff: RunnerBackoff, maxReportAgeMs: number) {
    this.#group = group;
    this.#leases = leases;
    this.#backoff = backoff;
    this.#maxReportAgeMs = maxReportAgeMs;
  }

  /**
   * Places begin to be handed out here: what is at the runners now was placed by others, and ends as calls do, where it is
   * known how long they take. Reports that are no newer say nothing of what is still there.
   */
  recordInitialLoads(nowMs: number): void {
    this.#initialLoads = new Map(this.#group.runners().map(({ id }) => [id, this.#currentLoad(id)]));
    this.#startedAtMs = nowMs;
  }

  /** Room of the whole group. */
  groupCapacity(holdingMs: number, nowMs: number): GroupCapacity {
    let places = 0;
    let free = 0;
    let placedByOthers = 0;
    let paused = 0;
    let placesFreedPerMs = 0;
    for (const runner of this.#group.runners()) {
      const runnerPlaces = placesOf(runner, holdingMs);
      places += runnerPlaces;
      free += this.#freePlaces(runner, holdingMs, nowMs);
      placedByOthers += this.#placedByOthers(runner.id, nowMs);
      if (this.#backoff.isPaused(runner.id, nowMs)) paused += 1;
      // A runner that is slow, or hangs, shows by calls that are held for long before any of them is over.
      placesFreedPerMs += runnerPlaces / Math.max(1, holdingMs, this.#leases.meanAgeMs(runner.id, nowMs));
    }
    return { places, free, placedByOthers, paused, placesFreedPerMs: placesFreedPerMs };
  }

  /** The runner that a call gets now; undefined when none has room for it. */
  runnerFor(call: PlaceCall, holdingMs: number, nowMs: number): RunnerEntry | undefined {
    const eligible = new Set<RunnerId>();
    let fewestTaken = Number.POSITIVE_INFINITY;
    for (const runner of this.#group.runners()) {
      const mayTake = !call.excluded.includes(runner.id) && this.#fitsInMemory(runner.id, call.tokens);
      if (!mayTake || this.#freePlaces(runner, holdingMs, nowMs) < 1) continue;
      eligible.add(runner.id);
      fewestTaken = Math.min(fewestTaken, this.#takenPlaces(runner.id, nowMs));
    }
    if (eligible.size === 0) return undefined;
    // What the board knows of loads is older than the leases: among free runners those are filled evenly.
    const isAmongLeastUsed = (id: RunnerId) => this.#takenPlaces(id, nowMs) <= fewestTaken + 1;
    return this.#group.choose(call, nowMs, ({ id }) => {
      return eligible.has(id) && (id === call.preferred || isAmongLeastUsed(id));
    });
  }

  #freePlaces(runner: RunnerEntry, holdingMs: number, nowMs: number): number {
    if (this.#backoff.isPaused(runner.id, nowMs)) return 0;
    return Math.max(0, placesOf(runner, holdingMs) - this.#takenPlaces(runner.id, nowMs));
  }

  #takenPlaces(runner: RunnerId, nowMs: number): number {
    return this.#leases.usage(runner).leases + this.#placedByOthers(runner, nowMs);
  }

  #currentLoad(runner: RunnerId): InitialLoad {
    const undispatched = this.#group.undispatched(runner);
    return { undispatched, leased: Math.max(0, this.#group.load(runner) - undispatched) };
  }

  #placedByOthers(runner: RunnerId, nowMs: number): number {
    const sinceMs = nowMs - this.#startedAtMs;
    if (sinceMs >= this.#maxReportAgeMs) return this.#group.undispatched(runner);
    const { undispatched, leased } = this.#initialLoads.get(runner) ?? NO_INITIAL_LOAD;
    const averageCallMs = this.#group.averageCallMs(MIN_CALLS_FOR_AVERAGE);
    if (averageCallMs === undefined) return Math.min(undispatched, this.#group.undispatched(runner)) + leased;
    return Math.ceil((undispatched + leased) * Math.max(0, 1 - sinceMs / averageCallMs));
  }

  /** More at once than fits into a runner's memory makes it drop what it has read. */
  #fitsInMemory(runner: RunnerId, tokens: number): boolean {
    const { memoryTokens } = this.#group;
    if (memoryTokens === undefined) return true;
    const usage = this.#leases.usage(runner);
    return usage.leases === 0 || usage.tokens + tokens <= memoryTokens;
  }
}

function placesOf({ slots }: RunnerEntry, holdingMs: number): number {
  const extraPlaces = Math.round((slots * HANDOVER_MS) / Math.max(1, holdingMs));
  return slots + Math.min(extraPlaces, Math.floor(slots * MAX_EXTRA_RATIO));
}
