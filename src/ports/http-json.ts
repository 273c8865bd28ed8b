// Importing all of undici adds the method `request`, which is used here, to its pools.
import "undici";
import type { Pool } from "undici";
import { platformError } from "../errors/tulipwheel-error.ts";
import { requireFraming } from "./http/body-framing.ts";
import { openPool } from "./http/connection-pool.ts";

const POOL_OPTIONS = {
  connections: 256,
  connectTimeout: 1_000,
  keepAliveTimeout: 4_000,
  keepAliveTimeoutThreshold: 2_000,
  keepAliveMaxTimeout: 600_000,
};
const DEFAULT_TIMEOUT_MS = 3_000;

/** Options of an {@link HttpJsonClient}. */
export interface HttpJsonClientOptions {
  /** Time-out for a whole exchange, in ms. Default 3,000. */
  readonly timeoutMs?: number;
}

/** The status and the parsed JSON body of an answer. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Codes of errors that are raised before a connection exists, so that no byte can have been sent. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Whether a request failed before a connection was established. */
export function isConnectFailure(error: unknown): boolean {
  return CONNECT_ERROR_CODES.has((error as { code?: string }).code ?? "");
}

/** Connection pools to other machines, one per address. */
export class HttpPools {
  readonly #pools = new Map<string, Pool>();

  /** Returns the pool of an address, which is opened on first use. */
  get(address: string): Pool {
    const existing = this.#pools.get(address);
    if (existing) return existing;
    const pool = openPool(address, POOL_OPTIONS);
    this.#pools.set(address, pool);
    return pool;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
    this.#pools.clear();
  }
}

/** Exchanges JSON with the platform's services. Throws a `PlatformError` when no answer arrives. */
export class HttpJsonClient {
  readonly #pools: HttpPools;
  readonly #timeoutMs: number;

  constructor(pools: HttpPools, options: HttpJsonClientOptions = {}) {
    this.#pools = pools;
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  /** Sends a request and reads the whole answer. */
  async exchange(address: string, method: string, path: string, body?: unknown): Promise<JsonAnswer> {
    try {
      const response = await this.#pools.get(address).request({
        method: method as "GET" | "POST" | "PUT" | "DELETE",
        path,
        headers: body === undefined ? {} : { "content-type": "application/json" },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: this.#timeoutMs,
        bodyTimeout: this.#timeoutMs,
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const text = await response.body.text();
      requireFraming(method, response.statusCode, response.headers);
      return { status: response.statusCode, body: text ? JSON.parse(text) : undefined };
    } catch (error) {
      throw platformError(`${method} ${path} at ${address} got no answer.`, error);
    }
  }

  /** Like {@link exchange}, but throws a `PlatformError` when the status is not 200. Returns the body. */
  async fetch(address: string, method: string, path: string, body?: unknown): Promise<unknown> {
    const answer = await this.exchange(address, method, path, body);
    if (answer.status !== 200)
      throw platformError(`${method} ${path} at ${address} answered ${answer.status}.`);
    return answer.body;
  }
}
