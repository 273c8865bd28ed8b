import type { Pool } from "undici";
import UndiciPool from "undici/lib/dispatcher/pool.js";

/** How connections to one address are kept. */
export interface ConnectionPoolOptions {
  /** Most connections at a time. */
  readonly connections: number;
  readonly connectTimeout: number;
  /** How long a connection rests where the other side names no time, in ms. */
  readonly keepAliveTimeout: number;
  /** A connection is given up this long before the time that the other side names, in ms. */
  readonly keepAliveTimeoutThreshold: number;
  readonly keepAliveMaxTimeout: number;
}

/** Connections to `IP:port`, one request at a time on each. Time limits are the caller's. */
export function openPool(address: string, options: ConnectionPoolOptions): Pool {
  return new UndiciPool(`http://${address}`, {
    ...options,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
