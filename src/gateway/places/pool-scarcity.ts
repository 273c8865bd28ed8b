/**
 * Whether the places of a pool are scarce, so that they are handed out by dispatchers: the pool has few for each gateway,
 * and most are taken. Far from that, a question before each call would cost more than it saves.
 */
import type { RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { RunnerGroups } from "./runner-groups.ts";

/** Part of the share from which on places are scarce at which they no longer are. */
const UNTIL_PART = 0.7;
/**
 * How long places stay scarce at least, in ms: longer than news of load take. Gateways that change their minds by old news
 * would send past the dispatchers what these have just handed out.
 */
const SCARCE_FOR_MS = 3_000;
/**
 * Part of the places for each gateway that runners other than model engines have to have: their calls are short, so that a
 * question costs a larger part of them, and places come free sooner.
 */
const SHORT_CALLS_PART = 0.25;
/** How long an answer is kept, in ms: loads of other gateways change no faster. */
const TTL_MS = 50;

interface KnownPool {
  readonly atMs: number;
  readonly isScarce: boolean;
  /** Since when it is so. */
  readonly sinceMs: number;
}

/** See the module's comment. */
export class PoolScarcity {
  readonly #context: GatewayContext;
  readonly #board: RunnerBalancer;
  readonly #groups: RunnerGroups;
  readonly #liveGateways: () => number;
  readonly #pools = new Map<string, KnownPool>();

  /** @param liveGateways how many gateways are alive, this one included */
  constructor(
    context: GatewayContext,
    board: RunnerBalancer,
    groups: RunnerGroups,
    liveGateways: () => number,
  ) {
    this.#context = context;
    this.#board = board;
    this.#groups = groups;
    this.#liveGateways = liveGateways;
  }

  /** Whether dispatchers hand out the places of a pool now. */
  isScarce({ name: pool, engine }: Pick<RunnerPool, "name" | "engine">): boolean {
    const { dispatchBelow } = this.#context.settings.places;
    if (dispatchBelow === 0) return false;
    const fewBelow = engine ? dispatchBelow : dispatchBelow * SHORT_CALLS_PART;
    const nowMs = this.#context.clock.monotonicMs();
    const known = this.#pools.get(pool);
    if (known && nowMs - known.atMs < TTL_MS) return known.isScarce;
    // Nothing else looks at reports while dispatchers choose the runners.
    this.#board.dropStale(nowMs);
    const wasScarce = known?.isScarce ?? false;
    const isBusy =
      this.#isBusy(pool, wasScarce) || (wasScarce && nowMs - (known?.sinceMs ?? 0) < SCARCE_FOR_MS);
    const isScarce = isBusy && this.#hasFew(pool, fewBelow);
    if (isScarce !== wasScarce) this.#context.log.info({ pool, isScarce }, "places scarce or not");
    const sinceMs = known && isScarce === wasScarce ? known.sinceMs : nowMs;
    this.#pools.set(pool, { atMs: nowMs, isScarce, sinceMs });
    return isScarce;
  }

  #hasFew(pool: string, fewBelow: number): boolean {
    const places = this.#groups.of(pool).reduce((sum, group) => sum + group.places, 0);
    return places < fewBelow * this.#liveGateways();
  }

  #isBusy(pool: string, wasScarce: boolean): boolean {
    const { scarceFrom } = this.#context.settings.places;
    return this.#board.occupancy(pool) >= (wasScarce ? UNTIL_PART * scarceFrom : scarceFrom);
  }
}
