/** Connections to runners: a pool for each incarnation, closed when it is gone from the list. */

import type { Pool } from "undici";
import { openPool } from "../../ports/http/connection-pool.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { RunnerEntry } from "../../scheduling/runner-board/runner-entry.ts";

/** Connections of this gateway to one runner, all requests in flight included. */
const MAX_CONNECTIONS = 64;
const CONNECT_TIMEOUT_MS = 1_000;
/** How long a connection rests where the runner names no time, in ms. */
const IDLE_MS = 4_000;
/** A connection is given up this long before the time that the runner names, in ms. */
const IDLE_MARGIN_MS = 500;
const MAX_IDLE_MS = 600_000;

/** See the module's comment. */
export class RunnerConnections {
  readonly #pools = new Map<RunnerId, Pool>();

  /** The pool of a runner. */
  pool(runner: RunnerEntry): Pool {
    const known = this.#pools.get(runner.id);
    if (known) return known;
    const pool = openPool(runner.address, {
      connections: MAX_CONNECTIONS,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
    });
    this.#pools.set(runner.id, pool);
    return pool;
  }

  /** A runner has left: requests under way there still end. */
  retire(id: RunnerId): void {
    void this.#take(id)?.close();
  }

  /** A runner has ended: nothing more comes of requests under way there. */
  breakOff(id: RunnerId): void {
    void this.#take(id)?.destroy(new Error("the runner has started again"));
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #take(id: RunnerId): Pool | undefined {
    const pool = this.#pools.get(id);
    this.#pools.delete(id);
    return pool;
  }
}
