/**
 * Whether the places of a pool are scarce, so that they are handed out by dispatchers: the pool has few for each gateway,
 * and most are taken. Far from that, a question before each call would cost more than it saves.
 */
import type { RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import type { RunnerBoard } from "../../scheduling/runner-board/runner-board.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { RunnerGroups } from "./runner-groups.ts";

/** Part of the share from which on places are scarce at which they no longer are. */
const SCARCITY_END_FACTOR = 0.7;
/**
 * How long places stay scarce at least, in ms: longer than news of load take. Gateways that change their minds by old news
 * would send past the dispatchers what these have just handed out.
 */
const MIN_SCARCE_MS = 3_000;
/**
 * Part of the places for each gateway that runners other than model engines have to have: their calls are short, so that a
 * question costs a larger part of them, and places come free sooner.
 */
const SHORT_CALLS_FACTOR = 0.25;
/** How long an answer is kept, in ms: loads of other gateways change no faster. */
const CACHE_TTL_MS = 50;

interface CachedScarcity {
  readonly atMs: number;
  readonly isScarce: boolean;
  /** Since when it is so. */
  readonly sinceMs: number;
}

/** See the module's comment. */
export class PoolScarcity {
  readonly #context: GatewayContext;
  readonly #board: RunnerBoard;
  readonly #groups: RunnerGroups;
  readonly #countLiveGateways: () => number;
  readonly #cache = new Map<string, CachedScarcity>();

  /** @param countLiveGateways how many gateways are alive, this one included */
  constructor(
    context: GatewayContext,
    board: RunnerBoard,
    groups: RunnerGroups,
    countLiveGateways: () => number,
  ) {
    this.#context = context;
    this.#board = board;
    this.#groups = groups;
    this.#countLiveGateways = countLiveGateways;
  }

  /** Whether dispatchers hand out the places of a pool now. */
  isScarce({ name: pool, engine }: Pick<RunnerPool, "name" | "engine">): boolean {
    const { dispatchBelow } = this.#context.settings.places;
    if (dispatchBelow === 0) return false;
    const maxPlacesPerGateway = engine ? dispatchBelow : dispatchBelow * SHORT_CALLS_FACTOR;
    const nowMs = this.#context.clock.monotonicMs();
    const cached = this.#cache.get(pool);
    if (cached && nowMs - cached.atMs < CACHE_TTL_MS) return cached.isScarce;
    // Nothing else looks at reports while dispatchers choose the runners.
    this.#board.dropStale(nowMs);
    const wasScarce = cached?.isScarce ?? false;
    const isBusy =
      this.#isBusy(pool, wasScarce) || (wasScarce && nowMs - (cached?.sinceMs ?? 0) < MIN_SCARCE_MS);
    const isScarce = isBusy && this.#hasFewPlaces(pool, maxPlacesPerGateway);
    if (isScarce !== wasScarce) this.#context.log.info({ pool, isScarce }, "places scarce or not");
    const sinceMs = cached && isScarce === wasScarce ? cached.sinceMs : nowMs;
    this.#cache.set(pool, { atMs: nowMs, isScarce, sinceMs });
    return isScarce;
  }

  #hasFewPlaces(pool: string, maxPlacesPerGateway: number): boolean {
    const places = this.#groups.of(pool).reduce((sum, group) => sum + group.places, 0);
    return places < maxPlacesPerGateway * this.#countLiveGateways();
  }

  #isBusy(pool: string, wasScarce: boolean): boolean {
    const { scarceFrom } = this.#context.settings.places;
    return this.#board.occupancy(pool) >= (wasScarce ? SCARCITY_END_FACTOR * scarceFrom : scarceFrom);
  }
}
