/** Tracks which runners of a group have capacity for a call: free places, and memory for its tokens. No I/O. */
import type { RunnerId } from "../ids/runner-id.ts";
import type { RunnerEntry } from "../runner-balancing/runner-entry.ts";
import type { GroupCapacity } from "./group-capacity.ts";
import type { LeaseTable } from "./lease-table.ts";
import { MIN_CALLS_FOR_AVERAGE } from "./min-calls-for-average.ts";
import type { PlaceCall } from "./place-call.ts";
import type { RunnerBackoff } from "./runner-backoff.ts";
import type { RunnerGroup } from "./runner-group.ts";

/**
 * How long a place is idle from the end of a call until the next one arrives, in ms: three messages between busy
 * machines. Runners get enough extra calls to stay busy meanwhile.
 */
const HANDOVER_MS = 6;
/** Limit of these extra calls, as a part of a runner's slots: more would wait there, ahead of more urgent calls. */
const MAX_EXTRA_RATIO = 0.25;

/** Requests that were at a runner when this dispatcher began to hand out places. */
interface InitialLoad {
  /** Requests that no dispatcher had placed: reports show when they end. */
  readonly undispatched: number;
  /** Requests that an earlier dispatcher had placed. */
  readonly leased: number;
}

const NO_INITIAL_LOAD: InitialLoad = { undispatched: 0, leased: 0 };

/** Free and taken places of the runners of one group. */
export class CapacityTracker {
  readonly #group: RunnerGroup;
  readonly #leases: LeaseTable;
  readonly #backoff: RunnerBackoff;
  readonly #maxReportAgeMs: number;
  #initialLoads: ReadonlyMap<RunnerId, InitialLoad> = new Map();
  #startedAtMs = Number.NEGATIVE_INFINITY;

  /** @param maxReportAgeMs greatest age of the reports about requests that no dispatcher placed */
  constructor(group: RunnerGroup, leases: LeaseTable, backoff: RunnerBackoff, maxReportAgeMs: number) {
    this.#group = group;
    this.#leases = leases;
    this.#backoff = backoff;
    this.#maxReportAgeMs = maxReportAgeMs;
  }

  /**
   * Records the requests at the runners when this dispatcher begins to hand out places; others placed them. If the
   * average call time is known, they are assumed to end accordingly: reports from before this time do not show which of
   * them are still there.
   */
  recordInitialLoads(nowMs: number): void {
    this.#initialLoads = new Map(this.#group.runners().map(({ id }) => [id, this.#currentLoad(id)]));
    this.#startedAtMs = nowMs;
  }

  /** Capacity of the whole group. */
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
      // The age of the leases reveals a runner that is slow or hangs before any of its calls ends.
      placesFreedPerMs += runnerPlaces / Math.max(1, holdingMs, this.#leases.meanAgeMs(runner.id, nowMs));
    }
    return { places, free, placedByOthers, paused, placesFreedPerMs };
  }

  /** The runner that takes a call now; undefined if none has capacity for it. */
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
    // The leases are newer than the loads that the board knows: use them to fill the free runners evenly.
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

  /** Whether a call fits into a runner's memory. With too many tokens, a runner drops prompts that it has processed. */
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
