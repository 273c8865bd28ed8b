/** One request of a caller and its answer. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import type { RawHeaders } from "../../ports/call-protocol.ts";
import type { CallerHead } from "./caller-head.ts";
import type { CallerProblem } from "./caller-problem.ts";

const HTTP_PROBLEM = "application/json";
const MS_PER_S = 1_000;

/** See the module's comment. */
export class CallerExchange implements CallerHead {
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly host: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: RawHeaders;
  readonly body: Buffer;
  /** Of the monotonic clock. */
  readonly arrivedAtMs: number;
  readonly #response: ServerResponse;
  readonly #endsConnection: () => boolean;
  #ended = false;
  #gone = false;
  #onGone: () => void = () => undefined;

  /** @param endsConnection whether an answer that begins now is the last on its connection */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    head: CallerHead,
    endsConnection: () => boolean,
  ) {
    this.method = request.method ?? "GET";
    this.target = request.url ?? "/";
    this.host = head.host;
    this.path = head.path;
    this.headers = head.headers;
    this.rawHeaders = request.rawHeaders;
    this.body = body;
    this.arrivedAtMs = head.arrivedAtMs;
    this.#response = response;
    this.#endsConnection = endsConnection;
    response.on("close", () => this.#closed());
    if (response.destroyed || request.socket.destroyed) this.#gone = true;
  }

  /** Whether the caller has left before its answer was whole. */
  get gone(): boolean {
    return this.#gone;
  }

  /** Whether the head of an answer has left. */
  get started(): boolean {
    return this.#response.headersSent;
  }

  /** Whether the answer is whole, or was broken off. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Sets what is called when the caller leaves early. */
  onGone(action: () => void): void {
    this.#onGone = action;
    if (this.#gone) action();
  }

  /** Sends a whole answer. */
  answer(status: number, headers: RawHeaders, body: Buffer): void {
    if (this.#ended || this.#gone) return;
    this.#ended = true;
    this.#writeHead(status, withLength(headers, body.length));
    this.#response.end(body);
  }

  /** Tells the caller why the system has no answer for it. */
  refuse(problem: CallerProblem): void {
    const { status, kind, detail, retryAfterMs, goElsewhere } = problem;
    if (goElsewhere) this.#response.shouldKeepAlive = false;
    const headers = ["Content-Type", HTTP_PROBLEM];
    if (retryAfterMs !== undefined) headers.push("Retry-After", (retryAfterMs / MS_PER_S).toFixed(3));
    this.answer(status, headers, Buffer.from(JSON.stringify({ error: kind, detail })));
  }

  /** Sends the head of an answer that comes in pieces. */
  start(status: number, headers: RawHeaders): void {
    if (this.#ended || this.#gone) return;
    this.#writeHead(status, withoutLength(headers));
  }

  /** Sends a piece. */
  write(chunk: Buffer): void {
    if (this.#ended || this.#gone) return;
    this.#response.write(chunk);
  }

  /** The answer is whole. */
  end(): void {
    if (this.#ended || this.#gone) return;
    this.#ended = true;
    this.#response.end();
  }

  /** Ends the connection so that the answer cannot be taken for a whole one. */
  breakOff(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#response.destroy();
  }

  #writeHead(status: number, headers: string[]): void {
    if (this.#endsConnection()) this.#response.shouldKeepAlive = false;
    this.#response.writeHead(status, headers);
  }

  #closed(): void {
    if (this.#ended) return;
    this.#gone = true;
    this.#onGone();
  }
}

function withoutLength(headers: RawHeaders): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === "content-length") continue;
    kept.push(headers[index] ?? "", headers[index + 1] ?? "");
  }
  return kept;
}

function withLength(headers: RawHeaders, length: number): string[] {
  return [...withoutLength(headers), "Content-Length", String(length)];
}
