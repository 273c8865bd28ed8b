/** Which runners of a group have room for a call: places, and memory for its tokens. Pure. */
import type { RunnerId } from "../ids/runner-id.ts";
import type { RunnerEntry } from "../runner-balancing/runner-entry.ts";
import type { GroupRoom } from "./group-room.ts";
import type { LeaseBook } from "./lease-book.ts";
import { LEAST_CALLS } from "./least-calls.ts";
import type { PlaceCall } from "./place-call.ts";
import type { RunnerGroup } from "./runner-group.ts";
import type { TurnedAway } from "./turned-away.ts";

/**
 * How long a place lies idle from the end of a call until the next one arrives, in ms: three messages between machines that
 * are busy. Runners get so much more work that they do not wait meanwhile.
 */
const HAND_OVER_MS = 6;
/** Part of a runner's slots that may be handed out on top for it: more would wait there, ahead of what is more urgent. */
const MOST_ON_TOP = 0.25;

/** Requests at a runner when places began to be handed out. */
interface InheritedLoad {
  /** Those that no dispatcher had placed: reports tell of their ends. */
  readonly unplaced: number;
  /** Those that a dispatcher before had placed. */
  readonly leased: number;
}

const NOTHING_INHERITED: InheritedLoad = { unplaced: 0, leased: 0 };

/** See the module's comment. */
export class RunnerRoom {
  readonly #group: RunnerGroup;
  readonly #leases: LeaseBook;
  readonly #turnedAway: TurnedAway;
  readonly #learningMs: number;
  #inherited: ReadonlyMap<RunnerId, InheritedLoad> = new Map();
  #inheritedAtMs = Number.NEGATIVE_INFINITY;

  /** @param learningMs how old what is told of requests that no dispatcher has placed may be */
  constructor(group: RunnerGroup, leases: LeaseBook, turnedAway: TurnedAway, learningMs: number) {
    this.#group = group;
    this.#leases = leases;
    this.#turnedAway = turnedAway;
    this.#learningMs = learningMs;
  }

  /**
   * Places begin to be handed out here: what is at the runners now was placed by others, and ends as calls do, where it is
   * known how long they take. Reports that are no newer say nothing of what is still there.
   */
  inherit(nowMs: number): void {
    this.#inherited = new Map(this.#group.runners().map(({ id }) => [id, this.#loadOf(id)]));
    this.#inheritedAtMs = nowMs;
  }

  /** Room of the whole group. */
  total(holdingMs: number, nowMs: number): GroupRoom {
    let places = 0;
    let free = 0;
    let placedByOthers = 0;
    let paused = 0;
    let freedPerMs = 0;
    for (const runner of this.#group.runners()) {
      const all = placesOf(runner, holdingMs);
      places += all;
      free += this.#free(runner, holdingMs, nowMs);
      placedByOthers += this.#placedByOthers(runner.id, nowMs);
      if (this.#turnedAway.has(runner.id, nowMs)) paused += 1;
      // A runner that is slow, or hangs, shows by calls that are held for long before any of them is over.
      freedPerMs += all / Math.max(1, holdingMs, this.#leases.meanAgeMs(runner.id, nowMs));
    }
    return { places, free, placedByOthers, paused, freedPerMs };
  }

  /** The runner that a call gets now; undefined when none has room for it. */
  runnerFor(call: PlaceCall, holdingMs: number, nowMs: number): RunnerEntry | undefined {
    const eligible = new Set<RunnerId>();
    let least = Number.POSITIVE_INFINITY;
    for (const runner of this.#group.runners()) {
      const mayTake = !call.excluded.includes(runner.id) && this.#fits(runner.id, call.tokens);
      if (!mayTake || this.#free(runner, holdingMs, nowMs) < 1) continue;
      eligible.add(runner.id);
      least = Math.min(least, this.#taken(runner.id, nowMs));
    }
    if (eligible.size === 0) return undefined;
    // What the board knows of loads is older than the leases: among free runners those are filled evenly.
    const isLeastTaken = (id: RunnerId) => this.#taken(id, nowMs) <= least + 1;
    return this.#group.choose(call, nowMs, ({ id }) => {
      return eligible.has(id) && (id === call.preferred || isLeastTaken(id));
    });
  }

  #free(runner: RunnerEntry, holdingMs: number, nowMs: number): number {
    if (this.#turnedAway.has(runner.id, nowMs)) return 0;
    return Math.max(0, placesOf(runner, holdingMs) - this.#taken(runner.id, nowMs));
  }

  #taken(runner: RunnerId, nowMs: number): number {
    return this.#leases.use(runner).leases + this.#placedByOthers(runner, nowMs);
  }

  #loadOf(runner: RunnerId): InheritedLoad {
    const unplaced = this.#group.unplaced(runner);
    return { unplaced, leased: Math.max(0, this.#group.load(runner) - unplaced) };
  }

  #placedByOthers(runner: RunnerId, nowMs: number): number {
    const sinceMs = nowMs - this.#inheritedAtMs;
    if (sinceMs >= this.#learningMs) return this.#group.unplaced(runner);
    const { unplaced, leased } = this.#inherited.get(runner) ?? NOTHING_INHERITED;
    const usualMs = this.#group.usualMs(LEAST_CALLS);
    if (usualMs === undefined) return Math.min(unplaced, this.#group.unplaced(runner)) + leased;
    return Math.ceil((unplaced + leased) * Math.max(0, 1 - sinceMs / usualMs));
  }

  /** More at once than fits into a runner's memory makes it drop what it has read. */
  #fits(runner: RunnerId, tokens: number): boolean {
    const { memoryTokens } = this.#group;
    if (memoryTokens === undefined) return true;
    const use = this.#leases.use(runner);
    return use.leases === 0 || use.tokens + tokens <= memoryTokens;
  }
}

function placesOf({ slots }: RunnerEntry, holdingMs: number): number {
  const onTop = Math.round((slots * HAND_OVER_MS) / Math.max(1, holdingMs));
  return slots + Math.min(onTop, Math.floor(slots * MOST_ON_TOP));
}
