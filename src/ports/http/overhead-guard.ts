/**
 * Limits what a server may send besides the bodies of its answers: heads, interim answers, chunk sizes and their extensions,
 * trailers. The HTTP client bounds only some of them, and reads the others for as long as they come.
 */
import type { Socket } from "node:net";
import type { buildConnector, Client, Dispatcher } from "undici";
import HttpClient from "undici/lib/dispatcher/client.js";
import { AnswerLimitError } from "./answer-limit-error.ts";

/** Bytes besides the body that any answer may have. One more read of the connection may come before the limit counts. */
const MAX_OVERHEAD_BYTES = 65_536;
/** Further such bytes for each byte of the body: chunks may be small. */
const OVERHEAD_PER_BODY_BYTE = 4;

/** Counts the bytes of the answer that arrives on one connection. */
class OverheadGuard {
  #readBytes = 0;
  #bodyBytes = 0;

  /** Starts to count anew. */
  reset(): void {
    this.#readBytes = 0;
    this.#bodyBytes = 0;
  }

  addBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  /** Watches a new connection, from which the client reads whenever it has processed what it read before. */
  watch(socket: Socket): void {
    this.reset();
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => {
      if (this.#exceedsLimit) socket.destroy(new AnswerLimitError("too many bytes besides the body"));
      const bytes: Buffer | null = read(size);
      this.#readBytes += bytes?.length ?? 0;
      return bytes;
    };
  }

  get #exceedsLimit(): boolean {
    const overhead = this.#readBytes - this.#bodyBytes;
    return overhead > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * this.#bodyBytes;
  }
}

/** A client of one connection that ends it when an answer exceeds the limit. */
export class GuardedClient extends HttpClient {
  readonly #guard: OverheadGuard;

  constructor(origin: URL, options: Client.Options) {
    const guard = new OverheadGuard();
    super(origin, { ...options, connect: watchedBy(guard, options.connect as buildConnector.connector) });
    this.#guard = guard;
  }

  override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(options, new CountingHandler(handler, this.#guard));
  }
}

function watchedBy(guard: OverheadGuard, connect: buildConnector.connector): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) guard.watch(socket);
      callback(...result);
    });
  };
}

/**
 * Passes an answer on, and tells the guard how much of it is body. A pool hands its clients handlers of the library's older
 * interface.
 */
class CountingHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;
  readonly #guard: OverheadGuard;

  constructor(handler: Dispatcher.DispatchHandler, guard: OverheadGuard) {
    this.#handler = handler;
    this.#guard = guard;
  }

  onConnect(abort: (reason?: Error) => void): void {
    this.#guard.reset();
    this.#handler.onConnect?.(abort);
  }

  onHeaders(status: number, headers: Buffer[], resume: () => void, statusText: string): boolean {
    return this.#handler.onHeaders?.(status, headers, resume, statusText) ?? true;
  }

  onData(chunk: Buffer): boolean {
    this.#guard.addBody(chunk.length);
    return this.#handler.onData?.(chunk) ?? true;
  }

  onComplete(trailers: string[] | null): void {
    this.#handler.onComplete?.(trailers);
  }

  onError(error: Error): void {
    this.#handler.onError?.(error);
  }
}
