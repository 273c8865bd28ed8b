/**
 * One request of a caller and its answer. What the caller does not take yet waits here, so that it can be seen whether it
 * takes anything: the system is handed only a little at a time.
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import type { RawHeaders } from "../../ports/call-protocol.ts";
import type { CallerBuffers } from "../buffers/caller-buffers.ts";
import type { ProblemResponse } from "./problem-response.ts";
import type { RequestHead } from "./request-head.ts";

const JSON_CONTENT_TYPE = "application/json";
const MS_PER_S = 1_000;
const NO_BODY = Buffer.alloc(0);
/** What the system is handed at a time, in bytes. */
const MAX_WRITE_BYTES = 32_768;

/** See the module's comment. */
export class CallerExchange implements RequestHead {
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
  readonly #shouldCloseConnection: () => boolean;
  #body: Buffer;
  #ended = false;
  #gone = false;
  #cut = false;
  #onGone: () => void = () => undefined;
  #onDrain: () => void = () => undefined;
  /** What the system has not been handed yet, oldest first. */
  #queue: Buffer[] = [];
  #queuedBytes = 0;
  #writtenBytes = 0;

  /**
   * @param buffers counts what is held for the request
   * @param shouldCloseConnection whether an answer that begins now is the last on its connection
   */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    head: RequestHead,
    buffers: CallerBuffers,
    shouldCloseConnection: () => boolean,
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
    this.#shouldCloseConnection = shouldCloseConnection;
    buffers.setProgress({
      unreadBytes: () => this.#unreadBytes,
      transferredBytes: () => this.#writtenBytes - this.#unreadBytes,
      isWaitingForCaller: () => this.#unreadBytes > 0,
      cut: () => this.#cutConnection(),
    });
    response.on("drain", () => this.#flushQueue());
    response.on("close", () => this.#onClose());
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
  onDrain(action: () => void): void {
    this.#onDrain = action;
    this.buffers.onUpdate = () => this.#checkDrained();
  }

  /** The call is over: the body is not needed any more. */
  releaseCall(): void {
    this.#body = NO_BODY;
    this.buffers.releaseCall();
  }

  /** Sends a whole answer. */
  answer(status: number, headers: RawHeaders, body: Buffer): void {
    if (this.#ended || this.#gone) return;
    this.#writeHead(status, withContentLength(headers, body.length));
    if (body.length > MAX_WRITE_BYTES) {
      this.write(body);
      this.end();
      return;
    }
    this.#ended = true;
    this.#writtenBytes += body.length;
    this.#response.end(body);
    this.#recordUnreadBytes();
  }

  /** Tells the caller why the system has no answer for it. */
  refuse(problem: ProblemResponse): void {
    const { status, kind, detail, retryAfterMs, closesConnection } = problem;
    if (closesConnection) this.#response.shouldKeepAlive = false;
    const headers = ["Content-Type", JSON_CONTENT_TYPE];
    if (retryAfterMs !== undefined) headers.push("Retry-After", (retryAfterMs / MS_PER_S).toFixed(3));
    this.answer(status, headers, Buffer.from(JSON.stringify({ error: kind, detail })));
  }

  /** Sends the head of an answer that comes in pieces. */
  start(status: number, headers: RawHeaders): void {
    if (this.#ended || this.#gone) return;
    this.#writeHead(status, withoutContentLength(headers));
  }

  /** Sends a piece. */
  write(chunk: Buffer): void {
    if (this.#ended || this.#gone) return;
    this.#writtenBytes += chunk.length;
    if (this.#queue.length === 0 && chunk.length <= MAX_WRITE_BYTES && !this.#response.writableNeedDrain)
      this.#response.write(chunk);
    else this.#enqueue(chunk);
    this.#recordUnreadBytes();
  }

  /** The answer is whole. */
  end(): void {
    if (this.#ended || this.#gone) return;
    this.#ended = true;
    if (this.#queue.length === 0) this.#response.end();
  }

  /** Ends the connection so that the answer cannot be taken for a whole one. */
  abort(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#response.destroy();
  }

  #writeHead(status: number, headers: string[]): void {
    if (this.#shouldCloseConnection()) this.#response.shouldKeepAlive = false;
    this.#response.writeHead(status, headers);
  }

  get #unreadBytes(): number {
    return this.#queuedBytes + this.#response.writableLength;
  }

  #recordUnreadBytes(): void {
    this.buffers.set("answers", this.#unreadBytes);
  }

  /** Keeps a chunk in pieces of a size at which the caller can be seen to take them. */
  #enqueue(chunk: Buffer): void {
    for (let start = 0; start < chunk.length; start += MAX_WRITE_BYTES)
      this.#queue.push(chunk.subarray(start, start + MAX_WRITE_BYTES));
    this.#queuedBytes += chunk.length;
    if (!this.#response.writableNeedDrain) this.#flushQueue();
  }

  /** The system takes more. */
  #flushQueue(): void {
    if (this.#response.destroyed) return;
    let writtenCount = 0;
    while (writtenCount < this.#queue.length) {
      const piece = this.#queue[writtenCount] as Buffer;
      writtenCount += 1;
      this.#queuedBytes -= piece.length;
      if (!this.#response.write(piece)) break;
    }
    this.#queue.splice(0, writtenCount);
    if (writtenCount > 0 && this.#ended && this.#queue.length === 0) this.#response.end();
    this.#recordUnreadBytes();
    this.#checkDrained();
  }

  #checkDrained(): void {
    if (this.#unreadBytes <= this.buffers.readAheadBytes / 2) this.#onDrain();
  }

  /** The caller takes nothing: what waits for it is dropped. */
  #cutConnection(): void {
    this.#cut = true;
    this.#response.destroy();
    // What the call does until the connection has closed must not reach it any more.
    this.#onClose();
  }

  #onClose(): void {
    this.#queue = [];
    this.#queuedBytes = 0;
    this.buffers.close();
    if (this.#ended || this.#gone) return;
    this.#gone = true;
    this.#onGone();
  }
}

function withoutContentLength(headers: RawHeaders): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === "content-length") continue;
    kept.push(headers[index] ?? "", headers[index + 1] ?? "");
  }
  return kept;
}

function withContentLength(headers: RawHeaders, length: number): string[] {
  return [...withoutContentLength(headers), "Content-Length", String(length)];
}
