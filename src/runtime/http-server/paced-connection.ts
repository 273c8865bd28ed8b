/**
 * A connection to an HTTP server that passes on what it receives only as far as the server has answered: one request at a
 * time, and its body in pieces. What a client sends ahead stays, apart from one read, with the operating system, where it
 * holds the client up.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { HeldBytesBudget } from "./held-bytes-budget.ts";
import type { PacedReader, ReadPacer } from "./read-pacer.ts";

/** The end of a head, and of a body in chunks. Within such a body it may also be data. */
const BLANK_LINE = Buffer.from("\r\n\r\n");
/** Bytes before a read that may begin a blank line. */
const SEAM_BYTES = BLANK_LINE.length - 1;
const NO_BYTES = Buffer.alloc(0);
/** Maximum number of bytes passed on at a time that are not known to be body: the parser may create objects for each few. */
const MAX_PIECE_BYTES = 4_096;
/** Memory that the parser uses for each byte of headers or trailers that are not complete: each line becomes objects. */
const PARSED_BYTE_COST = 10;
/** What is still read of a request that was refused before its connection is closed, in bytes, and for how long, in ms. */
const MAX_DISCARDED_BYTES = 262_144;
const MAX_DISCARD_MS = 1_000;

/** What all connections of a server share. */
export interface PacedConnectionParts {
  readonly pacer: ReadPacer;
  readonly budget: HeldBytesBudget;
  /** Called when a connection is closed because connections hold too many bytes. */
  readonly onOverBudget: () => void;
}

export class PacedConnection extends Duplex implements PacedReader {
  readonly #socket: Socket;
  readonly #parts: PacedConnectionParts;
  /** What was received and not passed on yet. */
  #held: Buffer = NO_BYTES;
  /** The last bytes that were passed on, unless a blank line ended them. */
  #seam: Buffer = NO_BYTES;
  /** Bytes of headers or trailers that the parser holds. */
  #parsedBytes = 0;
  #countedBytes = 0;
  /** The last request that was passed on; undefined once it is answered and was received whole. */
  #request: IncomingMessage | undefined;
  /** Bytes of its body that have not been passed on; undefined if the body's length is not known. */
  #bodyBytesLeft: number | undefined;
  /** Whether what is received of the request in addition to its body counts as held. */
  #countsFraming = false;
  /** Whether the last piece ended with a blank line. */
  #endsWithBlankLine = false;
  #unanswered = 0;
  #hasAnswered = false;
  #hasReceivedSinceAnswer = false;
  #isDiscarding = false;
  #discardedBytes = 0;
  #discardTimer: NodeJS.Timeout | undefined;
  #progressedAtMs = performance.now();

  constructor(socket: Socket, parts: PacedConnectionParts) {
    super({ decodeStrings: false });
    this.#socket = socket;
    this.#parts = parts;
    socket.on("data", (bytes: Buffer) => this.#onData(bytes));
    socket.on("end", () => this.#onEnd());
    socket.on("error", (error) => this.destroy(error));
    socket.on("close", () => this.destroy());
    socket.on("timeout", () => this.emit("timeout"));
    this.on("resume", () => this.#continue());
  }

  /** When the client last sent or read something, by the monotonic clock, in ms. */
  get progressedAtMs(): number {
    return this.#progressedAtMs;
  }

  /** Whether no request has been received whose answer is not complete. */
  get isUnused(): boolean {
    return this.#unanswered === 0;
  }

  /** Whether every request is answered and nothing has been received since. False before the first request. */
  get isIdle(): boolean {
    return this.#hasAnswered && this.isUnused && !this.#hasReceivedSinceAnswer;
  }

  /** Whether only the client can make progress: it has not sent its request completely, or does not read its answer. */
  get isWaitingForClient(): boolean {
    return this.writableLength > 0 || this.#isReceivingBody;
  }

  /**
   * Whether the connection is closed if the answer to the last request is complete now, since too much of the request's
   * body, or an unknown amount, has not been received.
   */
  get closesWithAnswer(): boolean {
    if (!this.#isReceivingBody) return false;
    return this.#bodyBytesLeft === undefined || this.#bodyBytesLeft > MAX_DISCARDED_BYTES;
  }

  /** Records that the server has a request, until its answer is complete or the connection is closed. */
  begin(request: IncomingMessage, response: ServerResponse): void {
    this.#request = request;
    this.#unanswered += 1;
    this.#bodyBytesLeft = this.#endsWithBlankLine ? statedBodyBytes(request) : undefined;
    this.#countsFraming = false;
    response.on("close", () => this.#onAnswered());
  }

  /** Counts what a request in chunks contains besides its body. Call it once the body is being read. */
  countFraming(request: IncomingMessage): void {
    if (this.#bodyBytesLeft !== undefined) return;
    this.#countsFraming = true;
    request.on("data", () => {
      this.#parsedBytes = 0;
    });
  }

  /** Sets the time without traffic after which `timeout` is emitted, in ms; 0 for never. */
  setTimeout(timeoutMs: number): this {
    this.#socket.setTimeout(timeoutMs);
    return this;
  }

  /** Closes the connection after what was written; the client gets the time to read that. */
  destroySoon(): void {
    if (this.destroyed || this.#isDiscarding) return;
    const mayStillSend = this.#isReceivingBody || this.#held.length > 0;
    this.end(() => {
      if (!mayStillSend) this.destroy();
    });
    if (mayStillSend) this.#discard();
  }

  /** Closes the connection in a way that tells the client that its answer is not complete. */
  resetAndDestroy(): void {
    this.#socket.resetAndDestroy();
    this.destroy();
  }

  processNext(): boolean {
    if (!this.#mayPassOn) return false;
    this.#passPieceOn();
    if (this.#held.length === 0) this.#socket.resume();
    return this.#mayPassOn;
  }

  override _read(): void {
    // Data is passed on whenever there is some that may be.
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.#socket.write(chunk, encoding, (error) => this.#onWritten(error, done));
  }

  override _writev(
    chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
    done: (error?: Error | null) => void,
  ): void {
    const last = chunks.length - 1;
    this.#socket.cork();
    chunks.forEach(({ chunk, encoding }, index) => {
      if (index < last) this.#socket.write(chunk, encoding);
      else this.#socket.write(chunk, encoding, (error) => this.#onWritten(error, done));
    });
    this.#socket.uncork();
  }

  override _final(done: (error?: Error | null) => void): void {
    this.#socket.end(() => done());
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    clearTimeout(this.#discardTimer);
    this.#parts.pacer.remove(this);
    this.#release();
    this.#socket.destroy();
    done(error);
  }

  #onData(bytes: Buffer): void {
    this.#progressedAtMs = performance.now();
    this.#hasReceivedSinceAnswer = true;
    if (this.#isDiscarding) return this.#countDiscarded(bytes.length);
    this.#held = this.#held.length === 0 ? bytes : Buffer.concat([this.#held, bytes]);
    if (this.#mayPassOn) this.#passPieceOn();
    if (this.#held.length === 0) return;
    this.#count();
    if (this.destroyed) return;
    // Small amounts are held without a pause, so that the end of the connection is noticed.
    if (this.#mayPassOn) this.#parts.pacer.add(this);
    else if (this.#held.length <= MAX_PIECE_BYTES) return;
    this.#socket.pause();
  }

  /** The client has closed its side: whatever it sent ahead is not served. */
  #onEnd(): void {
    if (this.#isDiscarding) return void this.destroy();
    this.#release();
    this.push(null);
  }

  #onAnswered(): void {
    this.#unanswered -= 1;
    this.#hasAnswered = true;
    this.#progressedAtMs = performance.now();
    this.#hasReceivedSinceAnswer = this.#held.length > 0 || this.#isReceivingBody;
    this.#forgetRequest();
    if (this.closesWithAnswer) this.destroySoon();
    else this.#continue();
  }

  #continue(): void {
    if (this.#mayPassOn) this.#parts.pacer.add(this);
  }

  #onWritten(error: Error | null | undefined, done: (error?: Error | null) => void): void {
    this.#progressedAtMs = performance.now();
    done(error);
  }

  get #isReceivingBody(): boolean {
    return this.#request !== undefined && !this.#request.complete;
  }

  get #mayPassOn(): boolean {
    if (this.#held.length === 0 || this.destroyed || this.#isDiscarding) return false;
    if (this.readableFlowing === false) return false;
    return this.#unanswered === 0 || this.#isReceivingBody;
  }

  #passPieceOn(): void {
    const length = this.#pieceLength();
    const isWhole = length === this.#held.length;
    const piece = isWhole ? this.#held : this.#held.subarray(0, length);
    this.#held = isWhole ? NO_BYTES : this.#held.subarray(length);
    if (!this.#isReceivingBody || this.#countsFraming) this.#parsedBytes += length;
    this.push(piece);
    // The parser holds no part of a head, nor of trailers, behind a blank line.
    if (this.#endsWithBlankLine) this.#parsedBytes = 0;
    this.#forgetRequest();
    this.#count();
  }

  /** Releases the last request if it is answered and was received whole. */
  #forgetRequest(): void {
    if (this.#unanswered === 0 && this.#request?.complete) this.#request = undefined;
  }

  /** The length of the next piece: no more than is left of a body, and nothing behind the end of a head or of a body. */
  #pieceLength(): number {
    if (!this.#isReceivingBody || this.#bodyBytesLeft === undefined) return this.#lengthToBlankLine();
    const length = Math.min(this.#held.length, this.#bodyBytesLeft);
    this.#bodyBytesLeft -= length;
    return length;
  }

  /** The length of the piece up to the end of a blank line, or of one that does not hold such an end. */
  #lengthToBlankLine(): number {
    const end = this.#findBlankLine();
    this.#endsWithBlankLine = end > 0;
    if (this.#endsWithBlankLine) {
      this.#seam = NO_BYTES;
      return end;
    }
    const length = Math.min(this.#held.length, MAX_PIECE_BYTES);
    this.#seam = Buffer.concat([this.#seam, this.#held.subarray(0, length)]).subarray(-SEAM_BYTES);
    return length;
  }

  /** Where the first blank line of a piece ends; 0 if none does. */
  #findBlankLine(): number {
    if (this.#seam.length > 0) {
      const seam = Buffer.concat([this.#seam, this.#held.subarray(0, SEAM_BYTES)]);
      const inSeam = seam.indexOf(BLANK_LINE);
      if (inSeam >= 0) return inSeam + BLANK_LINE.length - this.#seam.length;
    }
    const start = this.#held.subarray(0, MAX_PIECE_BYTES).indexOf(BLANK_LINE);
    return start < 0 ? 0 : start + BLANK_LINE.length;
  }

  /** Counts what is held, and closes the connection if that is too much. */
  #count(): void {
    const bytes = this.#held.length + this.#parsedBytes * PARSED_BYTE_COST;
    if (bytes === this.#countedBytes) return;
    const { budget, onOverBudget } = this.#parts;
    budget.change(this.#countedBytes, bytes);
    this.#countedBytes = bytes;
    if (this.destroyed || !budget.isExceededBy(bytes)) return;
    onOverBudget();
    this.destroy();
  }

  #release(): void {
    this.#held = NO_BYTES;
    this.#parsedBytes = 0;
    this.#count();
  }

  /** Reads and drops what the client still sends, up to a limit, because it may not read its answer before. */
  #discard(): void {
    this.#isDiscarding = true;
    this.#release();
    this.#discardTimer = setTimeout(() => this.destroy(), MAX_DISCARD_MS);
    this.#socket.resume();
  }

  #countDiscarded(bytes: number): void {
    this.#discardedBytes += bytes;
    if (this.#discardedBytes > MAX_DISCARDED_BYTES) this.destroy();
  }
}

/** The length of a request's body; undefined if only the body itself tells it. */
function statedBodyBytes({ headers }: IncomingMessage): number | undefined {
  if (headers["transfer-encoding"] !== undefined) return undefined;
  return Number(headers["content-length"] ?? 0);
}
