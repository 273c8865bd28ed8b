/**
 * A model runner as the users' pages describe it: it works on `slots` requests at a time, queues a few more and refuses the
 * rest as not executed. Some of its answers are lost: it runs the request to its end, but the connection is reset.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { pause } from "../support/deployment.ts";
import type { CaseRecord } from "../support/outcome.ts";

const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const KEEP_ALIVE_MS = 30_000;

export interface StreamRunnerOptions {
  readonly id: string;
  readonly slots: number;
  /** Requests that wait while all slots are taken. */
  readonly queue: number;
  /** Returns how many events the answer to a request has. */
  readonly eventsOf: (request: string) => number;
  readonly eventMs: number;
  /** Returns after how many events an answer is lost; undefined for one that is not. */
  readonly loseAfter: () => number | undefined;
}

/** One run of a request. */
export interface Run {
  readonly request: string;
  readonly runner: string;
  readonly startedMs: number;
  endedMs: number | undefined;
}

export class StreamRunner {
  readonly runs: Run[] = [];
  refused = 0;
  readonly #options: StreamRunnerOptions;
  readonly #record: CaseRecord;
  readonly #server: Server;
  readonly #waiting: (() => void)[] = [];
  #taken = 0;

  constructor(options: StreamRunnerOptions, record: CaseRecord) {
    this.#options = options;
    this.#record = record;
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
      void this.#serve(request, response);
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { id, slots, queue } = this.#options;
    const requestId = String(request.headers["x-request-id"]);
    response.on("error", () => undefined);
    for await (const _ of request);
    const head = { "X-Request-Id": requestId };
    if (request.headers["x-expect-instance"] !== id)
      return void response.writeHead(MISDIRECTED, { ...head, "X-Not-Executed": "1" }).end();
    if (this.#taken >= slots && this.#waiting.length >= queue) {
      this.refused += 1;
      this.#record.add(`${id} is full and does not run ${requestId}`);
      return void response.writeHead(UNAVAILABLE, { ...head, "X-Not-Executed": "1" }).end();
    }
    if (this.#taken >= slots) await new Promise<void>((resolve) => this.#waiting.push(resolve));
    else this.#taken += 1;
    if (!response.destroyed) await this.#run(requestId, request, response);
    const next = this.#waiting.shift();
    if (next) next();
    else this.#taken -= 1;
  }

  async #run(requestId: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { id, eventsOf, eventMs, loseAfter } = this.#options;
    const events = eventsOf(requestId);
    const run: Run = { request: requestId, runner: id, startedMs: performance.now(), endedMs: undefined };
    this.runs.push(run);
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    this.#record.add(`${id} runs ${requestId} from event ${first}`);
    const lostAfter = loseAfter();
    const signature = `sig.${id}.${requestId}`;
    const head = { "X-Request-Id": requestId, "X-Response-Signature": signature, "X-Weight-Versions": "1" };
    response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
    for (let event = first; event <= events; event += 1) {
      await pause(eventMs);
      // A caller that leaves ends the run; a lost answer does not.
      if (response.destroyed && lostAfter === undefined) break;
      response.write(`id: ${event}\ndata: ${requestId}-${event}\n\n`);
      if (event === lostAfter) {
        this.#record.add(`${id} loses its answer to ${requestId} after event ${event}, and works on`);
        request.socket.resetAndDestroy();
      }
    }
    run.endedMs = performance.now();
    this.#record.add(`${id} has ended its run of ${requestId}`);
    response.end();
  }
}
