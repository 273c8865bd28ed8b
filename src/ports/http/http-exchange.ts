/** One HTTP request over a pool of connections, its answer handed on as it comes. */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher, Pool } from "undici";
import type { RawHeaders } from "../call-protocol.ts";

/** A request. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** The head of an answer. */
export interface HttpAnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: RawHeaders;
}

/** What becomes of a request. After `onEnd` or `onFailed` nothing more comes. */
export interface HttpExchangeListener {
  /** The head of the answer. Return false to give the exchange up. */
  onHead(head: HttpAnswerHead): boolean;
  onData(chunk: Buffer): void;
  /** The answer has come whole. */
  onEnd(): void;
  /**
   * The exchange broke.
   *
   * @param sent whether the request may have reached the other side
   */
  onFailed(error: Error, sent: boolean): void;
}

/** Lets the sender give a request up, or make the other side wait. */
export interface HttpExchange {
  abort(): void;
  /** Reads no more of the answer; what has been read already may still come. */
  pause(): void;
  /** Reads on. */
  resume(): void;
}

/** Sends a request. */
export function sendRequest(pool: Pool, request: HttpRequest, listener: HttpExchangeListener): HttpExchange {
  const handler = new ExchangeHandler(listener);
  pool.dispatch(
    {
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers as string[],
      body: request.body.length > 0 ? request.body : null,
      headersTimeout: 0,
      bodyTimeout: 0,
    },
    handler,
  );
  return handler;
}

class ExchangeHandler implements Dispatcher.DispatchHandler, HttpExchange {
  readonly #listener: HttpExchangeListener;
  #controller: Dispatcher.DispatchController | undefined;
  #finished = false;
  #aborted = false;

  constructor(listener: HttpExchangeListener) {
    this.#listener = listener;
  }

  abort(): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#aborted = true;
    this.#controller?.abort(new Error("given up"));
  }

  pause(): void {
    if (!this.#finished) this.#controller?.pause();
  }

  resume(): void {
    if (!this.#finished) this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#aborted) controller.abort(new Error("given up"));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.#finished || status < 200) return;
    const raw = (controller.rawHeaders ?? []) as (Buffer | string)[];
    const rawHeaders = raw.map((item) => (typeof item === "string" ? item : item.toString("latin1")));
    if (!this.#listener.onHead({ status, headers, rawHeaders })) this.abort();
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#finished) this.#listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#listener.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#listener.onFailed(error, this.#controller !== undefined);
  }
}
