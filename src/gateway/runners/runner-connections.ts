/**
 * Connection pools for runners, one for each incarnation, closed when the runner is removed from the list. All gateways
 * together stay within the number of connections that a runner accepts; see `connection-share.ts`.
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

/** Maximum number of connections from this gateway to one runner, and thus of requests in flight there. */
const MAX_CONNECTIONS = 64;
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle timeout of a connection if the runner announces none, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** A connection is closed this long before the idle timeout that the runner announces, in ms. */
const IDLE_TIMEOUT_MARGIN_MS = 500;
const MAX_IDLE_TIMEOUT_MS = 600_000;
/**
 * Interval between checks for idle connections beyond this gateway's share, in ms. Most such connections have reached their
 * idle timeout by then.
 */
const TRIM_INTERVAL_MS = 5_000;
/** Codes of errors with which a connection ends or fails because of the runner or the network. */
const REMOTE_END_CODES: ReadonlySet<string | undefined> = new Set([
  "UND_ERR_SOCKET",
  "CONNECTION_RESET",
  "ECONNRESET",
  "ECONNREFUSED",
]);
/** Minimum fraction of a pool's connections that must be idle before the pool is closed because of them. */
const MIN_IDLE_FRACTION = 0.5;

/** Dependencies and limits of {@link RunnerConnections}. */
export interface RunnerConnectionsOptions {
  readonly clock: Clock;
  readonly board: RunnerBalancer;
  /** Returns the number of live gateways, including this one. */
  readonly gateways: () => number;
  /** Returns how many connections each runner of a pool accepts from all gateways; undefined if that is not known. */
  readonly maxConnections: (pool: string) => number | undefined;
  /** Called when a runner has ended a connection, or did not accept one. */
  readonly onConnectionEnded?: (runner: RunnerId) => void;
}

interface OpenPool {
  readonly pool: Pool;
  /** The pool of runners that the runner belongs to. */
  readonly poolName: string;
}

/** Opens, shares out and closes the connections of this gateway to runners. */
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

  /** Number of open connections. */
  get count(): number {
    let count = 0;
    for (const { pool } of this.#pools.values()) count += pool.stats.connected;
    return count;
  }

  /** Whether a connection to a runner is open. */
  isConnected(id: RunnerId): boolean {
    return (this.#pools.get(id)?.pool.stats.connected ?? 0) > 0;
  }

  /** Returns the connection pool of a runner, and opens it if necessary. */
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
    const noteEnd = ({ code }: NodeJS.ErrnoException) => {
      if (REMOTE_END_CODES.has(code)) this.#options.onConnectionEnded?.(runner.id);
    };
    pool.on("disconnect", (_origin, _targets, error) => noteEnd(error));
    pool.on("connectionError", (_origin, _targets, error) => noteEnd(error));
    this.#pools.set(runner.id, { pool, poolName: runner.pool });
    return pool;
  }

  /** Returns a filter for the runners of a pool that accepts one if this gateway's share allows another request there. */
  withinShareFilter(poolName: string): (runner: RunnerEntry) => boolean {
    const { gateways, maxConnections } = this.#options;
    const limit = maxConnections(poolName);
    if (limit === undefined) return () => true;
    const gatewayCount = gateways();
    return ({ id }) => mayUseConnection(this.#use(id), limit, gatewayCount);
  }

  /**
   * Returns a filter for requests that no runner of the pool can take within the share. It accepts a runner that is known to
   * accept another connection.
   */
  beyondShareFilter(poolName: string): (runner: RunnerEntry) => boolean {
    const limit = this.#options.maxConnections(poolName);
    return ({ id }) => limit === undefined || mayExceedShare(this.#use(id), limit);
  }

  /** Closes pools with many idle connections beyond the share, once their requests in flight have ended. */
  trim(): void {
    for (const [id, { pool, poolName }] of this.#pools) {
      const limit = this.#options.maxConnections(poolName);
      const { connected, running } = pool.stats;
      if (limit === undefined || connected <= connectionShare(limit, this.#options.gateways())) continue;
      if (connected - running >= connected * MIN_IDLE_FRACTION) this.drain(id);
    }
  }

  /** Closes the connections to a runner that was removed, once its requests in flight have ended. */
  drain(id: RunnerId): void {
    void this.#removePool(id)?.close();
  }

  /** Closes the connections to a runner that no longer runs. Its requests in flight fail at once. */
  abort(id: RunnerId): void {
    void this.#removePool(id)?.destroy(new Error("the runner has started again"));
  }

  /** Closes all connections at once. */
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
