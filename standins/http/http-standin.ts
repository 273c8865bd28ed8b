/**
 * What all stand-ins have in common: a small JSON server on loopback whose answers can be made late, lost or
 * refused while it runs, by `POST /faults`.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { listenAt } from "../../src/runtime/listen-at.ts";

/** How a stand-in misbehaves. */
export interface Faults {
  /** Answers nothing and carries nothing out. */
  outage: boolean;
  /** Waits before each request is carried out, in ms. */
  delayMs: number;
  /** Carries writes out, and then drops the connection instead of answering. */
  loseWriteAnswers: boolean;
  /** Requests a second that are answered; more get status 429. 0 for no limit. */
  requestsPerSecond: number;
}

/** One request, read whole. */
export interface StandinRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: Buffer;
  readonly headers: IncomingMessage["headers"];
}

/** Answers a request; `undefined` for status 404. */
export type StandinHandler = (
  request: StandinRequest,
  response: ServerResponse,
) => StandinAnswer | undefined | "streaming";

/** A whole answer. */
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

/** See the module's comment. */
export class HttpStandin {
  readonly faults: Faults = { outage: false, delayMs: 0, loseWriteAnswers: false, requestsPerSecond: 0 };
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #handler: StandinHandler;
  #windowStartMs = 0;
  #windowRequests = 0;
  /** Requests carried out. */
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

  /** Listens at `IP:port`; port 0 takes a free one. Returns the address. */
  listen(address: string): Promise<string> {
    return listenAt(this.#server, address);
  }

  /** Ends at once, with all connections. */
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

/** Reads JSON out of a request. */
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
