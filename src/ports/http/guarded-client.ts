/** A client of one connection that ends it when an answer exceeds a limit, or is none by HTTP/1.1. */
import type { Socket } from "node:net";
import type { buildConnector, Client, Dispatcher } from "undici";
import HttpClient from "undici/lib/dispatcher/client.js";
import { AnswerLimitError } from "./answer-limit-error.ts";
import { ConnectionEndCheck } from "./connection-end-check.ts";
import { InvalidAnswerError } from "./invalid-answer-error.ts";
import { OverheadGuard } from "./overhead-guard.ts";
import { StatusLineCheck } from "./status-line-check.ts";

const TRANSFER_ENCODING = "transfer-encoding";
/** The only transfer coding that the client decodes, and only if it is written so, in any case. */
const CHUNKED = "chunked";

/** The checks of the answers that arrive on one connection. */
class AnswerChecks {
  readonly overhead = new OverheadGuard();
  readonly statusLine = new StatusLineCheck();
  readonly end = new ConnectionEndCheck();

  /** Expects the answer to a request that is about to be sent. */
  reset(): void {
    this.overhead.reset();
    this.statusLine.reset();
  }

  /** Watches a new connection, from which the client reads whenever it has processed what it read before. */
  watch(socket: Socket): void {
    this.overhead.reset();
    this.end.watch(socket);
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => {
      if (this.overhead.exceedsLimit) socket.destroy(new AnswerLimitError("too many bytes besides the body"));
      const bytes: Buffer | null = read(size);
      if (!bytes) return bytes;
      this.overhead.addRead(bytes.length);
      if (this.statusLine.accepts(bytes)) return bytes;
      socket.destroy(new InvalidAnswerError("the answer has no status line of HTTP/1.1"));
      return null;
    };
  }
}

export class GuardedClient extends HttpClient {
  readonly #checks: AnswerChecks;

  constructor(origin: URL, options: Client.Options) {
    const checks = new AnswerChecks();
    super(origin, { ...options, connect: watchedBy(checks, options.connect as buildConnector.connector) });
    this.#checks = checks;
  }

  override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(options, new CheckedHandler(handler, this.#checks));
  }
}

function watchedBy(checks: AnswerChecks, connect: buildConnector.connector): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) checks.watch(socket);
      callback(...result);
    });
  };
}

/**
 * Passes an answer on as far as the checks allow it. A pool hands its clients handlers of the library's older interface.
 */
class CheckedHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;
  readonly #checks: AnswerChecks;
  #abort: (reason?: Error) => void = () => undefined;

  constructor(handler: Dispatcher.DispatchHandler, checks: AnswerChecks) {
    this.#handler = handler;
    this.#checks = checks;
  }

  onConnect(abort: (reason?: Error) => void): void {
    this.#checks.reset();
    this.#abort = abort;
    this.#handler.onConnect?.(abort);
  }

  onHeaders(status: number, headers: Buffer[], resume: () => void, statusText: string): boolean {
    const defect = findCodingDefect(headers, this.#checks.statusLine.isOldVersion);
    if (defect === undefined) return this.#handler.onHeaders?.(status, headers, resume, statusText) ?? true;
    this.#abort(new InvalidAnswerError(defect));
    return false;
  }

  onData(chunk: Buffer): boolean {
    this.#checks.overhead.addBody(chunk.length);
    return this.#handler.onData?.(chunk) ?? true;
  }

  onComplete(trailers: string[] | null): void {
    const { defect } = this.#checks.end;
    if (defect === undefined) this.#handler.onComplete?.(trailers);
    else this.#handler.onError?.(new InvalidAnswerError(defect));
  }

  onError(error: Error): void {
    this.#handler.onError?.(error);
  }
}

/** What is wrong with the transfer codings of an answer: the client would pass on another body than the server's. */
function findCodingDefect(headers: readonly Buffer[], isOldVersion: boolean): string | undefined {
  const codings: string[] = [];
  for (let index = 0; index < headers.length; index += 2)
    if (isTransferEncoding(headers[index])) codings.push(headers[index + 1]?.toString("latin1") ?? "");
  if (codings.length === 0) return undefined;
  if (isOldVersion) return "the answer has a transfer coding, and is of HTTP/1.0";
  return codings.length === 1 && codings[0]?.toLowerCase() === CHUNKED
    ? undefined
    : "the answer has a transfer coding that is not understood";
}

function isTransferEncoding(name: Buffer | undefined): boolean {
  if (name?.length !== TRANSFER_ENCODING.length) return false;
  return name.toString("latin1").toLowerCase() === TRANSFER_ENCODING;
}
