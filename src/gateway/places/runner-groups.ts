/**
 * Deals the runners of each pool into groups, by consistent hashing: gateways that know the same runners deal alike, and a
 * runner or a group more moves few of the others.
 */
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { jumpHash } from "./jump-hash.ts";
import type { PlaceGroup } from "./place-group.ts";

/** Few enough for one gateway to hand out their places, many enough that a call finds a free one among them. */
const RUNNERS_IN_GROUP = 8;
/** How long the groups of a pool are kept before the runners are looked at again, in ms. */
const TTL_MS = 100;

interface DealtPool {
  readonly atMs: number;
  readonly groups: readonly PlaceGroup[];
  readonly groupOf: ReadonlyMap<RunnerId, number>;
}

/** See the module's comment. */
export class RunnerGroups {
  readonly #context: GatewayContext;
  readonly #board: RunnerBalancer;
  readonly #pools = new Map<string, DealtPool>();

  constructor(context: GatewayContext, board: RunnerBalancer) {
    this.#context = context;
    this.#board = board;
  }

  /** The groups of a pool; those without a runner are there too. */
  of(pool: string): readonly PlaceGroup[] {
    return this.#dealt(pool).groups;
  }

  /** The group of a runner; undefined when it takes no new work. */
  groupOf(pool: string, runner: RunnerId): number | undefined {
    return this.#dealt(pool).groupOf.get(runner);
  }

  #dealt(pool: string): DealtPool {
    const nowMs = this.#context.clock.monotonicMs();
    const known = this.#pools.get(pool);
    if (known && nowMs - known.atMs < TTL_MS) return known;
    const dealt = { atMs: nowMs, ...this.#deal(pool) };
    this.#pools.set(pool, dealt);
    return dealt;
  }

  #deal(pool: string): Omit<DealtPool, "atMs"> {
    const { hash } = this.#context;
    const runners = this.#board.entries().filter(({ id, pool: of }) => of === pool && this.#board.ready(id));
    const count = Math.max(1, Math.round(runners.length / RUNNERS_IN_GROUP));
    const members: RunnerEntry[][] = Array.from({ length: count }, () => []);
    const groupOf = new Map<RunnerId, number>();
    for (const runner of runners) {
      const index = jumpHash(hash.hash32(runner.id), count);
      members[index]?.push(runner);
      groupOf.set(runner.id, index);
    }
    const groups = members.map((of, index) => ({ index, runners: of, places: placesOf(of) }));
    return { groups, groupOf };
  }
}

function placesOf(runners: readonly RunnerEntry[]): number {
  return runners.reduce((sum, { slots }) => sum + slots, 0);
}
