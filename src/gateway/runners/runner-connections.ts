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
} from "../../scheduling/runner-balancing/connection-share.ts";
import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";

/** Connections of this gateway to one runner, all requests in flight included. */
const MAX_CONNECTIONS = 64;
const CONNECT_TIMEOUT_MS = 1_000;
/** How long a connection rests where the runner names no time, in ms. */
const IDLE_MS = 4_000;
/** A connection is given up this long before the time that the runner names, in ms. */
const IDLE_MARGIN_MS = 500;
const MAX_IDLE_MS = 600_000;
/** Time between looks for idle connections beyond the share, in ms: most have been closed by themselves by then. */
const TRIM_MS = 5_000;
/** Part of a pool's connections that has to be idle before it is closed for them. */
const IDLE_PART = 0.5;

/** What the connections depend on. */
export interface RunnerConnectionsParts {
  readonly clock: Clock;
  readonly board: RunnerBalancer;
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
  readonly #parts: RunnerConnectionsParts;
  readonly #pools = new Map<RunnerId, OpenPool>();
  #stop: () => void = () => undefined;

  constructor(parts: RunnerConnectionsParts) {
    this.#parts = parts;
  }

  start(): void {
    this.#stop = repeat(this.#parts.clock, TRIM_MS, () => this.trim());
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
      keepAliveTimeout: IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
    });
    this.#pools.set(runner.id, { pool, poolName: runner.pool });
    return pool;
  }

  /** Tells of each runner of a pool whether a connection of this gateway's share is left for one request more. */
  room(poolName: string): (runner: RunnerEntry) => boolean {
    const { gateways, maxConnections } = this.#parts;
    const most = maxConnections(poolName);
    if (most === undefined) return () => true;
    const gatewayCount = gateways();
    return ({ id }) => mayUseConnection(this.#use(id), most, gatewayCount);
  }

  /** The same for a request that no runner of the pool has room for: whether the runner is known to take one more. */
  lastRoom(poolName: string): (runner: RunnerEntry) => boolean {
    const most = this.#parts.maxConnections(poolName);
    return ({ id }) => most === undefined || mayExceedShare(this.#use(id), most);
  }

  /** Closes pools that hold many idle connections beyond the share; their requests end first. */
  trim(): void {
    for (const [id, { pool, poolName }] of this.#pools) {
      const most = this.#parts.maxConnections(poolName);
      const { connected, running } = pool.stats;
      if (most === undefined || connected <= connectionShare(most, this.#parts.gateways())) continue;
      if (connected - running >= connected * IDLE_PART) this.retire(id);
    }
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
    this.#stop();
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  #use(id: RunnerId): ConnectionUse {
    const { board } = this.#parts;
    return { own: board.ownLoad(id), total: board.load(id) };
  }

  #take(id: RunnerId): Pool | undefined {
    const pool = this.#pools.get(id)?.pool;
    this.#pools.delete(id);
    return pool;
  }
}
