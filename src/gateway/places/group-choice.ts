/**
 * Which group of a pool's runners is asked for a place: that of the runner that holds the prompt, unless others are
 * known to be faster; else the better of two drawn at random, by the waits that their dispatchers announced last.
 */
import type { RandomSource } from "../../runtime/random-source.ts";
import type { PlaceCall } from "../../scheduling/place-queue/index.ts";
import type { PlaceGroup } from "./place-group.ts";
import type { RunnerGroups } from "./runner-groups.ts";

/** A prompt is worth so long a wait for the runners that hold it, in ms: about what reading it anew takes. */
const PROMPT_WORTH_MS = 25;
/** How long a wait that was announced counts, in ms: queues change within a few calls. */
const ANNOUNCED_MS = 500;

interface Announced {
  readonly waitMs: number;
  readonly atMs: number;
}

/** See the module's comment. */
export class GroupChoice {
  readonly #groups: RunnerGroups;
  readonly #random: RandomSource;
  readonly #announced = new Map<string, Announced>();

  constructor(groups: RunnerGroups, random: RandomSource) {
    this.#groups = groups;
    this.#random = random;
  }

  /** A dispatcher said how long calls wait for its group. */
  note(pool: string, group: number, waitMs: number, nowMs: number): void {
    this.#announced.set(`${pool}/${group}`, { waitMs, atMs: nowMs });
  }

  /** The group for a call; undefined when none has a runner for it. */
  choose(pool: string, call: PlaceCall, nowMs: number): number | undefined {
    const able = this.#able(pool, call);
    const drawn = this.#betterOfTwo(pool, able, nowMs);
    const home = call.preferred === undefined ? undefined : this.#groups.groupOf(pool, call.preferred);
    if (home === undefined || drawn === undefined || !able.some(({ index }) => index === home)) return drawn;
    const isWorthIt = this.#waitMs(pool, home, nowMs) <= this.#waitMs(pool, drawn, nowMs) + PROMPT_WORTH_MS;
    return isWorthIt ? home : drawn;
  }

  /** Another group than one that has refused a call. */
  other(pool: string, call: PlaceCall, refused: number, nowMs: number): number | undefined {
    const others = this.#able(pool, call).filter(({ index }) => index !== refused);
    return this.#betterOfTwo(pool, others, nowMs);
  }

  #able(pool: string, { excluded }: PlaceCall): readonly PlaceGroup[] {
    const groups = this.#groups.of(pool);
    return groups.filter(({ runners }) => runners.some(({ id }) => !excluded.includes(id)));
  }

  /** One of the groups, more often those with many places. */
  #draw(groups: readonly PlaceGroup[]): number | undefined {
    let rest = this.#random.unit() * groups.reduce((sum, { places }) => sum + places, 0);
    for (const { index, places } of groups) {
      rest -= places;
      if (rest < 0) return index;
    }
    return groups.at(-1)?.index;
  }

  #betterOfTwo(pool: string, groups: readonly PlaceGroup[], nowMs: number): number | undefined {
    const left = this.#draw(groups);
    const right = this.#draw(groups.filter(({ index }) => index !== left));
    if (left === undefined || right === undefined) return left;
    return this.#waitMs(pool, right, nowMs) < this.#waitMs(pool, left, nowMs) ? right : left;
  }

  #waitMs(pool: string, group: number, nowMs: number): number {
    const announced = this.#announced.get(`${pool}/${group}`);
    return announced && nowMs - announced.atMs < ANNOUNCED_MS ? announced.waitMs : 0;
  }
}
