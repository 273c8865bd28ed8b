/**
 * Divides the runners of each pool into groups by consistent hashing: gateways that know the same runners compute the same
 * groups, and an additional runner or group moves few of the other runners.
 */
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { jumpHash } from "./jump-hash.ts";
import type { PlaceGroup } from "./place-group.ts";

/** Few enough for one gateway to hand out their places, and enough that a call finds a free one among them. */
const RUNNERS_PER_GROUP = 8;
/** How long the groups of a pool are cached before the runners are read again, in ms. */
const CACHE_TTL_MS = 100;

interface PoolGroups {
  readonly atMs: number;
  readonly groups: readonly PlaceGroup[];
  readonly groupOf: ReadonlyMap<RunnerId, number>;
}

export class RunnerGroups {
  readonly #context: GatewayContext;
  readonly #board: RunnerBalancer;
  readonly #cache = new Map<string, PoolGroups>();

  constructor(context: GatewayContext, board: RunnerBalancer) {
    this.#context = context;
    this.#board = board;
  }

  /** The groups of a pool, including those without runners. */
  of(pool: string): readonly PlaceGroup[] {
    return this.#poolGroups(pool).groups;
  }

  /** The index of a runner's group; undefined when the runner takes no new work. */
  groupOf(pool: string, runner: RunnerId): number | undefined {
    return this.#poolGroups(pool).groupOf.get(runner);
  }

  #poolGroups(pool: string): PoolGroups {
    const nowMs = this.#context.clock.monotonicMs();
    const cached = this.#cache.get(pool);
    if (cached && nowMs - cached.atMs < CACHE_TTL_MS) return cached;
    const computed = { atMs: nowMs, ...this.#computeGroups(pool) };
    this.#cache.set(pool, computed);
    return computed;
  }

  #computeGroups(pool: string): Omit<PoolGroups, "atMs"> {
    const { hash } = this.#context;
    const runners = this.#board
      .entries()
      .filter(({ id, pool: runnerPool }) => runnerPool === pool && this.#board.ready(id));
    const count = Math.max(1, Math.round(runners.length / RUNNERS_PER_GROUP));
    const members: RunnerEntry[][] = Array.from({ length: count }, () => []);
    const groupOf = new Map<RunnerId, number>();
    for (const runner of runners) {
      const index = jumpHash(hash.hash32(runner.id), count);
      members[index]?.push(runner);
      groupOf.set(runner.id, index);
    }
    const groups = members.map((groupRunners, index) => ({
      index,
      runners: groupRunners,
      places: placesOf(groupRunners),
    }));
    return { groups, groupOf };
  }
}

function placesOf(runners: readonly RunnerEntry[]): number {
  return runners.reduce((sum, { slots }) => sum + slots, 0);
}
