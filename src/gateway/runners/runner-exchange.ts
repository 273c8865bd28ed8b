/** One request to one runner, over the runner's pool of connections. */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher, Pool } from "undici";
import type { RawHeaders } from "../../ports/call-protocol.ts";

/** A request as it goes to a runner. */
export interface RunnerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** The head of a runner's answer. */
export interface RunnerAnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: RawHeaders;
}

/** What becomes of a request. After `onEnd` or `onFailed` nothing more comes. */
export interface RunnerExchangeListener {
  /** The head of the answer. Return false to give the exchange up. */
  onHead(head: RunnerAnswerHead): boolean;
  onData(chunk: Buffer): void;
  /** The answer has come whole. */
  onEnd(): void;
  /**
   * The exchange broke.
   *
   * @param sent whether the request may have reached the runner
   */
  onFailed(error: Error, sent: boolean): void;
}

/** Lets the sender give a request up. */
export interface RunnerExchange {
  abort(): void;
}

/** Sends a request. */
export function sendToRunner(
  pool: Pool,
  request: RunnerRequest,
  listener: RunnerExchangeListener,
): RunnerExchange {
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

class ExchangeHandler implements Dispatcher.DispatchHandler, RunnerExchange {
  readonly #listener: RunnerExchangeListener;
  #controller: Dispatcher.DispatchController | undefined;
  #finished = false;
  #aborted = false;

  constructor(listener: RunnerExchangeListener) {
    this.#listener = listener;
  }

  abort(): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#aborted = true;
    this.#controller?.abort(new Error("given up"));
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
