import type { buildConnector, Pool } from "undici";
import openConnector from "undici/lib/core/connect.js";
import UndiciPool from "undici/lib/dispatcher/pool.js";

/** How connections to one address are kept. */
export interface ConnectionPoolOptions {
  /** Most connections at a time. */
  readonly connections: number;
  /** Longest time until a connection stands, in ms. */
  readonly connectTimeout: number;
  /** How long a connection rests where the other side names no time, in ms. */
  readonly keepAliveTimeout: number;
  /** A connection is given up this long before the time that the other side names, in ms. */
  readonly keepAliveTimeoutThreshold: number;
  readonly keepAliveMaxTimeout: number;
}

/** Connections to `IP:port`, one request at a time on each. Time limits are the caller's. */
export function openPool(address: string, options: ConnectionPoolOptions): Pool {
  const { connectTimeout, ...rest } = options;
  return new UndiciPool(`http://${address}`, {
    ...rest,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: reportResetsAsErrors(openConnector({ timeout: connectTimeout })),
  });
}

/**
 * An answer may have no length and end with its connection. undici takes a reset for such an end, by the error's code;
 * under another code it takes it for the error that it is.
 */
function reportResetsAsErrors(connect: buildConnector.connector): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      // This listener comes before undici's own.
      socket?.on("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") error.code = "CONNECTION_RESET";
      });
      callback(...result);
    });
  };
}
