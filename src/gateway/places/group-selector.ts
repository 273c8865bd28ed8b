/**
 * Selects the group of a pool's runners that is asked for a place: the group of the runner that holds the prompt, unless
 * others are known to be faster; otherwise the better of two random groups, by the waits that their dispatchers announced
 * last.
 */
import type { RandomSource } from "../../runtime/random-source.ts";
import type { PlaceCall } from "../../scheduling/place-queue/index.ts";
import type { PlaceGroup } from "./place-group.ts";
import type { RunnerGroups } from "./runner-groups.ts";

/** Extra wait that a call accepts for the group that holds its prompt, in ms: about the time to process the prompt again. */
const MAX_EXTRA_WAIT_FOR_PROMPT_MS = 25;
/** How long an announced wait is considered valid, in ms: queues change within a few calls. */
const ANNOUNCED_WAIT_TTL_MS = 500;

interface AnnouncedWait {
  readonly waitMs: number;
  readonly atMs: number;
}

export class GroupSelector {
  readonly #groups: RunnerGroups;
  readonly #random: RandomSource;
  readonly #announcedWaits = new Map<string, AnnouncedWait>();

  constructor(groups: RunnerGroups, random: RandomSource) {
    this.#groups = groups;
    this.#random = random;
  }

  /** Records the wait that a dispatcher announced for its group. */
  note(pool: string, group: number, waitMs: number, nowMs: number): void {
    this.#announcedWaits.set(`${pool}/${group}`, { waitMs, atMs: nowMs });
  }

  /** Chooses the group for a call; undefined when no group has a runner for it. */
  choose(pool: string, call: PlaceCall, nowMs: number): number | undefined {
    const eligible = this.#eligible(pool, call);
    const drawn = this.#betterOfTwo(pool, eligible, nowMs);
    const preferredGroup =
      call.preferred === undefined ? undefined : this.#groups.groupOf(pool, call.preferred);
    if (
      preferredGroup === undefined ||
      drawn === undefined ||
      !eligible.some(({ index }) => index === preferredGroup)
    )
      return drawn;
    const isWaitAcceptable =
      this.#waitMs(pool, preferredGroup, nowMs) <=
      this.#waitMs(pool, drawn, nowMs) + MAX_EXTRA_WAIT_FOR_PROMPT_MS;
    return isWaitAcceptable ? preferredGroup : drawn;
  }

  /** Chooses a group other than the one that refused a call; undefined when no other group has a runner for it. */
  chooseOther(pool: string, call: PlaceCall, refused: number, nowMs: number): number | undefined {
    const others = this.#eligible(pool, call).filter(({ index }) => index !== refused);
    return this.#betterOfTwo(pool, others, nowMs);
  }

  #eligible(pool: string, { excluded }: PlaceCall): readonly PlaceGroup[] {
    const groups = this.#groups.of(pool);
    return groups.filter(({ runners }) => runners.some(({ id }) => !excluded.includes(id)));
  }

  /** Draws a random group, weighted by the number of places. */
  #drawByPlaces(groups: readonly PlaceGroup[]): number | undefined {
    let remaining = this.#random.unit() * groups.reduce((sum, { places }) => sum + places, 0);
    for (const { index, places } of groups) {
      remaining -= places;
      if (remaining < 0) return index;
    }
    return groups.at(-1)?.index;
  }

  #betterOfTwo(pool: string, groups: readonly PlaceGroup[], nowMs: number): number | undefined {
    const left = this.#drawByPlaces(groups);
    const right = this.#drawByPlaces(groups.filter(({ index }) => index !== left));
    if (left === undefined || right === undefined) return left;
    return this.#waitMs(pool, right, nowMs) < this.#waitMs(pool, left, nowMs) ? right : left;
  }

  #waitMs(pool: string, group: number, nowMs: number): number {
    const announced = this.#announcedWaits.get(`${pool}/${group}`);
    return announced && nowMs - announced.atMs < ANNOUNCED_WAIT_TTL_MS ? announced.waitMs : 0;
  }
}
