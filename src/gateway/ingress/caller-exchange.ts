/**
 * One request of a caller and its answer. Data that the caller has not read yet is queued here, and only a little at a time
 * is passed to the operating system, so that the gateway can see whether the caller reads at all.
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import type { RawHeaders } from "../../ports/call-protocol.ts";
import type { CallerBuffers } from "../buffers/caller-buffers.ts";
import type { ProblemResponse } from "./problem-response.ts";
import type { RequestHead } from "./request-head.ts";
import { STOPPING } from "./stopping.ts";

const JSON_CONTENT_TYPE = "application/json";
const MS_PER_S = 1_000;
const NO_CONTENT = 204;
const NO_BODY = Buffer.alloc(0);
/** Maximum number of bytes that are passed to the operating system at a time. */
const MAX_WRITE_BYTES = 32_768;

export class CallerExchange implements RequestHead {
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly host: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly bodyBytes: number;
  readonly rawHeaders: RawHeaders;
  /** Arrival time by the monotonic clock, in ms. */
  readonly arrivedAtMs: number;
  /** Counts the bytes that are held for this request. */
  readonly buffers: CallerBuffers;
  readonly #response: ServerResponse;
  readonly #shouldCloseConnection: () => boolean;
  #body: Buffer;
  #ended = false;
  #gone = false;
  #cut = false;
  /** Whether only the end of the connection tells the caller that the answer is over. */
  #endsWithConnection = false;
  #onGone: () => void = () => undefined;
  #onDrain: () => void = () => undefined;
  #onBreakOff: () => void = () => this.refuse(STOPPING);
  /** Pieces that have not been passed to the operating system yet, oldest first. */
  #queue: Buffer[] = [];
  #queuedBytes = 0;
  #writtenBytes = 0;

  /**
   * @param buffers counts the bytes that are held for the request
   * @param shouldCloseConnection whether an answer that starts now must be the last on its connection
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

  /** The request's body; empty once the call is over. */
  get body(): Buffer {
    return this.#body;
  }

  /** Whether the connection was ended because the caller read nothing. */
  get wasCut(): boolean {
    return this.#cut;
  }

  /** Whether so much data waits for the caller that no more should be read from the runner. */
  get isFull(): boolean {
    return this.#unreadBytes > this.buffers.readAheadBytes;
  }

  /** Whether the caller disconnected before its answer was complete. */
  get gone(): boolean {
    return this.#gone;
  }

  /** Whether the head of an answer has been sent. */
  get started(): boolean {
    return this.#response.headersSent;
  }

  /** Whether the answer is complete or was aborted. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Sets what is called when the caller disconnects early; called at once if it already has. */
  onGone(action: () => void): void {
    this.#onGone = action;
    if (this.#gone) action();
  }

  /**
   * Sets what is called when the process ends before it has begun an answer, and answers the request. Requests that no call
   * has taken up are refused.
   */
  onBreakOff(action: () => void): void {
    this.#onBreakOff = action;
  }

  /** Sets what is called when the caller has read enough for more data to be buffered. */
  onDrain(action: () => void): void {
    this.#onDrain = action;
    this.buffers.onUpdate = () => this.#checkDrained();
  }

  /** Releases the request's body and what else is held for the call, which is over. */
  releaseCall(): void {
    this.#body = NO_BODY;
    this.buffers.releaseCall();
  }

  /** Sends a complete answer. */
  answer(status: number, headers: RawHeaders, body: Buffer): void {
    if (this.#ended || this.#gone) return;
    this.#writeHead(status, withContentLength(headers, body.length));
    this.#sendWhole(body);
  }

  /** Sends an answer that may not be complete: nothing but the end of the connection tells its end. */
  answerUnframed(status: number, headers: RawHeaders, body: Buffer): void {
    if (this.#ended || this.#gone) return;
    this.#response.useChunkedEncodingByDefault = false;
    this.#response.shouldKeepAlive = false;
    this.#writeHead(status, withoutContentLength(headers));
    this.#endsWithConnection = true;
    this.#sendWhole(body);
  }

  /** Sends an answer that has no body. A length in its headers is that of another answer. */
  answerWithoutBody(status: number, headers: RawHeaders): void {
    if (this.#ended || this.#gone) return;
    this.#writeHead(status, status === NO_CONTENT ? withoutContentLength(headers) : [...headers]);
    this.#ended = true;
    this.#response.end();
  }

  #sendWhole(body: Buffer): void {
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

  /** Sends an answer of the gateway itself. */
  refuse(problem: ProblemResponse): void {
    const { status, kind, detail, retryAfterMs, closesConnection } = problem;
    if (closesConnection) this.#response.shouldKeepAlive = false;
    const headers = ["Content-Type", JSON_CONTENT_TYPE];
    if (retryAfterMs !== undefined) headers.push("Retry-After", (retryAfterMs / MS_PER_S).toFixed(3));
    this.answer(status, headers, Buffer.from(JSON.stringify({ error: kind, detail })));
  }

  /** Sends the head of an answer whose body follows in pieces. */
  start(status: number, headers: RawHeaders): void {
    if (this.#ended || this.#gone) return;
    this.#writeHead(status, withoutContentLength(headers));
    this.#endsWithConnection = !this.#response.chunkedEncoding;
  }

  /** Sends a piece of the body. */
  write(chunk: Buffer): void {
    if (this.#ended || this.#gone) return;
    this.#writtenBytes += chunk.length;
    if (this.#queue.length === 0 && chunk.length <= MAX_WRITE_BYTES && !this.#response.writableNeedDrain)
      this.#response.write(chunk);
    else this.#enqueue(chunk);
    this.#recordUnreadBytes();
  }

  /** Ends an answer that is complete. */
  end(): void {
    if (this.#ended || this.#gone) return;
    this.#ended = true;
    if (this.#queue.length === 0) this.#response.end();
  }

  /** Ends the connection, so that the caller cannot mistake the answer for a complete one. */
  abort(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#breakConnection();
  }

  /** Answers a request whose answer has not begun; breaks off what has not been sent of another one, also if it was ended. */
  breakOff(): void {
    if (!this.#ended && !this.started) return this.#onBreakOff();
    this.#ended = true;
    if (!this.#response.writableFinished) this.#breakConnection();
  }

  /** Ends the connection in a way that shows that the answer is not complete: by a reset if its framing can't. */
  #breakConnection(): void {
    const { socket } = this.#response;
    if (this.#endsWithConnection && socket) socket.resetAndDestroy();
    else this.#response.destroy();
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

  /** Queues a chunk in pieces that are small enough to see the caller's progress. */
  #enqueue(chunk: Buffer): void {
    for (let start = 0; start < chunk.length; start += MAX_WRITE_BYTES)
      this.#queue.push(chunk.subarray(start, start + MAX_WRITE_BYTES));
    this.#queuedBytes += chunk.length;
    if (!this.#response.writableNeedDrain) this.#flushQueue();
  }

  /** Writes queued pieces until the operating system accepts no more. */
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

  /** Ends the connection of a caller that reads nothing, and drops the data that waits for it. */
  #cutConnection(): void {
    this.#cut = true;
    this.#breakConnection();
    // The connection closes later, and nothing that the call does until then may reach the caller.
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
