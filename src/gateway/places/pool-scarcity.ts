/**
 * Decides whether the places of a pool are scarce, so that dispatchers hand them out: the pool has few places for each
 * gateway, and most are taken. Otherwise, a request before each call would cost more than it saves.
 */
import type { RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { RunnerGroups } from "./runner-groups.ts";

/** Scarcity ends below this fraction of the occupancy at which it begins. */
const SCARCITY_END_FACTOR = 0.7;
/**
 * Minimum time for which places stay scarce, in ms: longer than load reports take to arrive. Gateways that acted on outdated
 * reports would bypass the dispatchers and use places that these have just handed out.
 */
const MIN_SCARCE_MS = 3_000;
/**
 * Applied to the limit of places for each gateway where runners are not model engines: their calls are short, so that a
 * request costs a larger part of each call, and places become free sooner.
 */
const SHORT_CALLS_FACTOR = 0.25;
/** How long a result is cached, in ms: the reported loads of other gateways change no faster. */
const CACHE_TTL_MS = 50;

interface CachedScarcity {
  readonly atMs: number;
  readonly isScarce: boolean;
  /** When the value last changed, in ms of the monotonic clock. */
  readonly sinceMs: number;
}

export class PoolScarcity {
  readonly #context: GatewayContext;
  readonly #board: RunnerBalancer;
  readonly #groups: RunnerGroups;
  readonly #countLiveGateways: () => number;
  readonly #cache = new Map<string, CachedScarcity>();

  /** @param countLiveGateways counts the gateways that are alive, including this one */
  constructor(
    context: GatewayContext,
    board: RunnerBalancer,
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
    // Nothing else removes stale reports while dispatchers choose the runners.
    this.#board.dropStale(nowMs);
    const wasScarce = cached?.isScarce ?? false;
    const isBusy =
      this.#isBusy(pool, wasScarce) || (wasScarce && nowMs - (cached?.sinceMs ?? 0) < MIN_SCARCE_MS);
    const isScarce = isBusy && this.#hasFewPlaces(pool, maxPlacesPerGateway);
    if (isScarce !== wasScarce) this.#context.log.info({ pool, isScarce }, "place scarcity changed");
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
