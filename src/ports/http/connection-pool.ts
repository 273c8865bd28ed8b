import type { buildConnector, Client, Pool } from "undici";
import openConnector from "undici/lib/core/connect.js";
import UndiciPool from "undici/lib/dispatcher/pool.js";
import { GuardedClient } from "./guarded-client.ts";

/**
 * Where the client itself ends a connection because of its head, in bytes. The limit on all that is not body comes first: the
 * client creates an error for each header line beyond its own.
 */
const CLIENT_MAX_HEAD_BYTES = 1_048_576;

/** Options of the connection pool of one address. */
export interface ConnectionPoolOptions {
  /** Maximum number of open connections. */
  readonly connections: number;
  /** Time-out for establishing a connection, in ms. */
  readonly connectTimeout: number;
  /** How long an idle connection is kept when the server announces no keep-alive time, in ms. */
  readonly keepAliveTimeout: number;
  /** An idle connection is closed this long before the keep-alive time that the server announces, in ms. */
  readonly keepAliveTimeoutThreshold: number;
  /** Upper limit of the keep-alive time that the server announces, in ms. */
  readonly keepAliveMaxTimeout: number;
}

/**
 * Opens a pool of connections to `IP:port`, with one request at a time on each. Callers set the time-outs of
 * requests.
 */
export function openPool(address: string, options: ConnectionPoolOptions): Pool {
  const { connectTimeout, ...rest } = options;
  return new UndiciPool(`http://${address}`, {
    ...rest,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxHeaderSize: CLIENT_MAX_HEAD_BYTES,
    factory: (origin, clientOptions) => new GuardedClient(origin, clientOptions as Client.Options),
    connect: reportResetsAsErrors(openConnector({ timeout: connectTimeout })),
  });
}

/**
 * Makes undici report connection resets as errors. An answer without a length ends when its connection ends. undici
 * also treats a reset as such an end, because of the code of the error; with another code it reports the error.
 */
function reportResetsAsErrors(connect: buildConnector.connector): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      // This listener runs before undici's own.
      socket?.on("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") error.code = "CONNECTION_RESET";
      });
      callback(...result);
    });
  };
}
