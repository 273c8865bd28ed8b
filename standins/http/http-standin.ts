/**
 * The server that the HTTP stand-ins share: JSON over HTTP, with faults that `POST /faults` sets at run time. Responses
 * can be delayed, lost or refused.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { listenAt } from "../../src/runtime/listen-at.ts";

/** The faults that a stand-in injects. */
export interface Faults {
  /** Drops each request's connection without executing the request. */
  outage: boolean;
  /** Delay before each request is executed, in ms. */
  delayMs: number;
  /** Executes writes, but drops the connection instead of responding. */
  loseWriteAnswers: boolean;
  /** Maximum number of requests per second; further requests get status 429. 0 means no limit. */
  requestsPerSecond: number;
}

/** A request whose body has been read completely. */
export interface StandinRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: Buffer;
  readonly headers: IncomingMessage["headers"];
}

/** Handles a request. Returns `undefined` for status 404, or `streaming` if it writes the response itself. */
export type StandinHandler = (
  request: StandinRequest,
  response: ServerResponse,
) => StandinAnswer | undefined | "streaming";

/** A complete response. */
export interface StandinAnswer {
  readonly status: number;
  readonly body?: unknown;
  readonly bytes?: Uint8Array;
  readonly contentType?: string;
}

const RATE_WINDOW_MS = 1_000;
const OK = 200;
const NOT_FOUND = 404;
const TOO_MANY_REQUESTS = 429;

/** An HTTP server that passes requests to a handler and injects faults. */
export class HttpStandin {
  readonly faults: Faults = { outage: false, delayMs: 0, loseWriteAnswers: false, requestsPerSecond: 0 };
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #handler: StandinHandler;
  #windowStartMs = 0;
  #windowRequests = 0;
  /** Number of requests executed. */
  requests = 0;

  constructor(handler: StandinHandler) {
    this.#handler = handler;
    this.#server = createServer((request, response) => void this.#serve(request, response));
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  /** Starts listening at `IP:port` and returns the address. Port 0 selects a free port. */
  listen(address: string): Promise<string> {
    return listenAt(this.#server, address);
  }

  /** Stops immediately and closes all connections. */
  close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const read = await readRequest(request);
      if (read.path === "/faults") return this.#setFaults(read, response);
      await this.#applyDelay();
      if (this.faults.outage) return void request.socket.destroy();
      if (this.#isOverRateLimit())
        return sendAnswer(response, { status: TOO_MANY_REQUESTS, body: { error: "rate-limit" } });
      this.requests += 1;
      const result = this.#handler(read, response);
      if (result === "streaming") return;
      if (this.faults.loseWriteAnswers && read.method !== "GET") return void request.socket.destroy();
      sendAnswer(response, result ?? { status: NOT_FOUND, body: { error: "not-found" } });
    } catch {
      request.socket.destroy();
    }
  }

  #setFaults(request: StandinRequest, response: ServerResponse): void {
    if (request.method === "POST") Object.assign(this.faults, JSON.parse(request.body.toString()));
    sendAnswer(response, { status: OK, body: this.faults });
  }

  async #applyDelay(): Promise<void> {
    if (this.faults.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, this.faults.delayMs));
  }

  #isOverRateLimit(): boolean {
    if (this.faults.requestsPerSecond === 0) return false;
    const nowMs = performance.now();
    if (nowMs - this.#windowStartMs > RATE_WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#windowRequests = 0;
    }
    this.#windowRequests += 1;
    return this.#windowRequests > this.faults.requestsPerSecond;
  }
}

/** Parses a request's body as JSON. */
export function parseJsonBody<Value>(request: StandinRequest): Value {
  return JSON.parse(request.body.toString("utf8")) as Value;
}

async function readRequest(request: IncomingMessage): Promise<StandinRequest> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  const url = new URL(request.url ?? "/", "http://standin");
  return {
    method: request.method ?? "GET",
    path: url.pathname,
    query: url.searchParams,
    body: Buffer.concat(parts),
    headers: request.headers,
  };
}

function sendAnswer(response: ServerResponse, { status, body, bytes, contentType }: StandinAnswer): void {
  const content = bytes ?? Buffer.from(JSON.stringify(body ?? {}));
  response.writeHead(status, {
    "content-type": contentType ?? "application/json",
    "content-length": content.length,
  });
  response.end(content);
}
