/**
 * Connections to runners: a pool for each incarnation, closed when it is gone from the list. All gateways together keep to
 * the connections that a runner takes; see `connection-share.ts`.
 */

import type { Pool } from "undici";
import { openPool } from "../../ports/http/connection-pool.ts";
import { type Clock, repeat } from "../../runtime/clock.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import {
  type ConnectionUse,
  connectionShare,
  mayExceedShare,
  mayUseConnection,
} from "../../scheduling/runner-board/connection-share.ts";
import type { RunnerBoard } from "../../scheduling/runner-board/runner-board.ts";
import type { RunnerEntry } from "../../scheduling/runner-board/runner-entry.ts";

/** Connections of this gateway to one runner, all requests in flight included. */
const MAX_CONNECTIONS = 64;
const CONNECT_TIMEOUT_MS = 1_000;
/** How long a connection rests where the runner names no time, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** A connection is given up this long before the time that the runner names, in ms. */
const IDLE_TIMEOUT_MARGIN_MS = 500;
const MAX_IDLE_TIMEOUT_MS = 600_000;
/** Time between looks for idle connections beyond the share, in ms: most have been closed by themselves by then. */
const TRIM_INTERVAL_MS = 5_000;
/** Part of a pool's connections that has to be idle before it is closed for them. */
const MIN_IDLE_FRACTION = 0.5;

/** What the connections depend on. */
export interface RunnerConnectionsOptions {
  readonly clock: Clock;
  readonly board: RunnerBoard;
  /** Gateways that are alive, this one included. */
  readonly gateways: () => number;
  /** Connections that each runner of a pool takes from all gateways; undefined where that is not known. */
  readonly maxConnections: (pool: string) => number | undefined;
}

interface OpenPool {
  readonly pool: Pool;
  /** The runner's. */
  readonly poolName: string;
}

/** See the module's comment. */
export class RunnerConnections {
  readonly #options: RunnerConnectionsOptions;
  readonly #pools = new Map<RunnerId, OpenPool>();
  #stop: () => void = () => undefined;

  constructor(options: RunnerConnectionsOptions) {
    this.#options = options;
  }

  start(): void {
    this.#stop = repeat(this.#options.clock, TRIM_INTERVAL_MS, () => this.trim());
  }

  /** Connections that stand. */
  get count(): number {
    let count = 0;
    for (const { pool } of this.#pools.values()) count += pool.stats.connected;
    return count;
  }

  /** The pool of a runner. */
  pool(runner: RunnerEntry): Pool {
    const known = this.#pools.get(runner.id);
    if (known) return known.pool;
    const pool = openPool(runner.address, {
      connections: MAX_CONNECTIONS,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
    });
    this.#pools.set(runner.id, { pool, poolName: runner.pool });
    return pool;
  }

  /** Tells of each runner of a pool whether a connection of this gateway's share is left for one request more. */
  withinShareFilter(poolName: string): (runner: RunnerEntry) => boolean {
    const { gateways, maxConnections } = this.#options;
    const limit = maxConnections(poolName);
    if (limit === undefined) return () => true;
    const gatewayCount = gateways();
    return ({ id }) => mayUseConnection(this.#use(id), limit, gatewayCount);
  }

  /** The same for a request that no runner of the pool has room for: whether the runner is known to take one more. */
  beyondShareFilter(poolName: string): (runner: RunnerEntry) => boolean {
    const limit = this.#options.maxConnections(poolName);
    return ({ id }) => limit === undefined || mayExceedShare(this.#use(id), limit);
  }

  /** Closes pools that hold many idle connections beyond the share; their requests end first. */
  trim(): void {
    for (const [id, { pool, poolName }] of this.#pools) {
      const limit = this.#options.maxConnections(poolName);
      const { connected, running } = pool.stats;
      if (limit === undefined || connected <= connectionShare(limit, this.#options.gateways())) continue;
      if (connected - running >= connected * MIN_IDLE_FRACTION) this.drain(id);
    }
  }

  /** A runner has left: requests under way there still end. */
  drain(id: RunnerId): void {
    void this.#removePool(id)?.close();
  }

  /** A runner has ended: nothing more comes of requests under way there. */
  abort(id: RunnerId): void {
    void this.#removePool(id)?.destroy(new Error("the runner has started again"));
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    this.#stop();
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  #use(id: RunnerId): ConnectionUse {
    const { board } = this.#options;
    return { own: board.ownLoad(id), total: board.load(id) };
  }

  #removePool(id: RunnerId): Pool | undefined {
    const pool = this.#pools.get(id)?.pool;
    this.#pools.delete(id);
    return pool;
  }
}
