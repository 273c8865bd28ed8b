/** Sends one HTTP request over a connection pool and passes its answer on as it arrives. */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher, Pool } from "undici";
import type { RawHeaders } from "../call-protocol.ts";
import { AnswerLimitError } from "./answer-limit-error.ts";
import { type BodyFraming, bodyFramingOf } from "./body-framing.ts";

/** Maximum size of the status line's and the headers' content, in bytes. */
const MAX_HEAD_BYTES = 16_384;

/** An HTTP request with its whole body. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** Status and headers of an answer. */
export interface HttpAnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: RawHeaders;
  readonly framing: BodyFraming;
}

/** Receives the answer to a request. After `onEnd` or `onFailed`, no method is called any more. */
export interface HttpExchangeListener {
  /** The status and headers have arrived. Return false to abort the exchange. */
  onHead(head: HttpAnswerHead): boolean;
  onData(chunk: Buffer): void;
  /** The answer is complete. */
  onEnd(): void;
  /**
   * The exchange failed.
   *
   * @param sent whether the request may have reached the server
   */
  onFailed(error: Error, sent: boolean): void;
}

/** Controls a request in progress: aborts it, or applies backpressure to the server. */
export interface HttpExchange {
  abort(): void;
  /** Stops reading the answer. Data that was already read may still be passed on. */
  pause(): void;
  /** Resumes reading the answer. */
  resume(): void;
}

/** Sends a request. The listener receives the answer. */
export function sendRequest(pool: Pool, request: HttpRequest, listener: HttpExchangeListener): HttpExchange {
  const handler = new ExchangeHandler(request.method, listener);
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
  readonly #method: string;
  readonly #listener: HttpExchangeListener;
  #controller: Dispatcher.DispatchController | undefined;
  #framing: BodyFraming | undefined;
  #finished = false;
  #aborted = false;

  constructor(method: string, listener: HttpExchangeListener) {
    this.#method = method;
    this.#listener = listener;
  }

  abort(): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#aborted = true;
    this.#controller?.abort(new Error("request aborted"));
  }

  pause(): void {
    if (!this.#finished) this.#controller?.pause();
  }

  resume(): void {
    if (!this.#finished) this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#aborted) controller.abort(new Error("request aborted"));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.#finished || status < 200) return;
    const raw = (controller.rawHeaders ?? []) as (Buffer | string)[];
    const rawHeaders = raw.map((item) => (typeof item === "string" ? item : item.toString("latin1")));
    if (rawHeaders.reduce((sum, { length }) => sum + length, 0) > MAX_HEAD_BYTES) {
      this.abort();
      return this.#listener.onFailed(new AnswerLimitError("the head of the answer is too large"), true);
    }
    this.#framing = bodyFramingOf(this.#method, status, headers);
    if (!this.#listener.onHead({ status, headers, rawHeaders, framing: this.#framing })) this.abort();
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
    // An answer without a body is whole with its head. undici misses the body of a 304 that states a length.
    if (this.#framing === "none") this.#listener.onEnd();
    else this.#listener.onFailed(error, this.#controller !== undefined);
  }
}
