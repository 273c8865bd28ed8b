/**
 * One request of a caller and its answer. What the caller does not take yet waits here, so that it can be seen whether it
 * takes anything: the system is handed only a little at a time.
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import type { RawHeaders } from "../../ports/call-protocol.ts";
import type { CallerBuffers } from "../buffers/caller-buffers.ts";
import type { CallerHead } from "./caller-head.ts";
import type { CallerProblem } from "./caller-problem.ts";

const HTTP_PROBLEM = "application/json";
const MS_PER_S = 1_000;
const NO_BODY = Buffer.alloc(0);
/** What the system is handed at a time, in bytes. */
const PIECE_BYTES = 32_768;

/** See the module's comment. */
export class CallerExchange implements CallerHead {
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly host: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly bodyBytes: number;
  readonly rawHeaders: RawHeaders;
  /** Of the monotonic clock. */
  readonly arrivedAtMs: number;
  /** What is held for this request. */
  readonly buffers: CallerBuffers;
  readonly #response: ServerResponse;
  readonly #endsConnection: () => boolean;
  #body: Buffer;
  #ended = false;
  #gone = false;
  #cut = false;
  #onGone: () => void = () => undefined;
  #onRoom: () => void = () => undefined;
  /** What the system has not been handed yet, oldest first. */
  #queue: Buffer[] = [];
  #queuedBytes = 0;
  #writtenBytes = 0;

  /**
   * @param buffers counts what is held for the request
   * @param endsConnection whether an answer that begins now is the last on its connection
   */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    head: CallerHead,
    buffers: CallerBuffers,
    endsConnection: () => boolean,
  ) {
    this.method = request.method ?? "GET";
    this.target = request.url ?? "/";
    this.host = head.host;
    this.path = head.path;
    this.headers = head.headers;
    this.bodyBytes = head.bodyBytes;
    this.rawHeaders = request.rawHeaders;
    this.#body = body;
    this.buffers = buffers;
    this.arrivedAtMs = head.arrivedAtMs;
    this.#response = response;
    this.#endsConnection = endsConnection;
    buffers.setProgress({
      unreadBytes: () => this.#unreadBytes,
      transferredBytes: () => this.#writtenBytes - this.#unreadBytes,
      isWaitingForCaller: () => this.#unreadBytes > 0,
      cut: () => this.#cutOff(),
    });
    response.on("drain", () => this.#handOver());
    response.on("close", () => this.#closed());
    if (response.destroyed || request.socket.destroyed) this.#gone = true;
  }

  /** The request's body, until the call is over. */
  get body(): Buffer {
    return this.#body;
  }

  /** Whether the connection was ended because the caller took nothing. */
  get wasCut(): boolean {
    return this.#cut;
  }

  /** Whether so much waits for the caller that nothing more should be fetched for it. */
  get isFull(): boolean {
    return this.#unreadBytes > this.buffers.readAheadBytes;
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

  /** Sets what is called when there is room again for what waits for the caller. */
  onRoom(action: () => void): void {
    this.#onRoom = action;
    this.buffers.onUpdate = () => this.#noteRoom();
  }

  /** The call is over: the body is not needed any more. */
  releaseCall(): void {
    this.#body = NO_BODY;
    this.buffers.releaseCall();
  }

  /** Sends a whole answer. */
  answer(status: number, headers: RawHeaders, body: Buffer): void {
    if (this.#ended || this.#gone) return;
    this.#writeHead(status, withLength(headers, body.length));
    if (body.length > PIECE_BYTES) {
      this.write(body);
      this.end();
      return;
    }
    this.#ended = true;
    this.#writtenBytes += body.length;
    this.#response.end(body);
    this.#countUnread();
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
    this.#writtenBytes += chunk.length;
    if (this.#queue.length === 0 && chunk.length <= PIECE_BYTES && !this.#response.writableNeedDrain)
      this.#response.write(chunk);
    else this.#enqueue(chunk);
    this.#countUnread();
  }

  /** The answer is whole. */
  end(): void {
    if (this.#ended || this.#gone) return;
    this.#ended = true;
    if (this.#queue.length === 0) this.#response.end();
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

  get #unreadBytes(): number {
    return this.#queuedBytes + this.#response.writableLength;
  }

  #countUnread(): void {
    this.buffers.set("answers", this.#unreadBytes);
  }

  /** Keeps a chunk in pieces of a size at which the caller can be seen to take them. */
  #enqueue(chunk: Buffer): void {
    for (let start = 0; start < chunk.length; start += PIECE_BYTES)
      this.#queue.push(chunk.subarray(start, start + PIECE_BYTES));
    this.#queuedBytes += chunk.length;
    if (!this.#response.writableNeedDrain) this.#handOver();
  }

  /** The system takes more. */
  #handOver(): void {
    if (this.#response.destroyed) return;
    let taken = 0;
    while (taken < this.#queue.length) {
      const piece = this.#queue[taken] as Buffer;
      taken += 1;
      this.#queuedBytes -= piece.length;
      if (!this.#response.write(piece)) break;
    }
    this.#queue.splice(0, taken);
    if (taken > 0 && this.#ended && this.#queue.length === 0) this.#response.end();
    this.#countUnread();
    this.#noteRoom();
  }

  #noteRoom(): void {
    if (this.#unreadBytes <= this.buffers.readAheadBytes / 2) this.#onRoom();
  }

  /** The caller takes nothing: what waits for it is dropped. */
  #cutOff(): void {
    this.#cut = true;
    this.#response.destroy();
    // What the call does until the connection has closed must not reach it any more.
    this.#closed();
  }

  #closed(): void {
    this.#queue = [];
    this.#queuedBytes = 0;
    this.buffers.close();
    if (this.#ended || this.#gone) return;
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
