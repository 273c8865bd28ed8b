/**
 * Serves callers' requests over HTTP: has each request accepted or refused by its head, reads the body, and passes both on.
 * A planned stop closes connections between requests. Requests that a caller sends ahead are served one after the other.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { PacedConnections } from "../../runtime/http-server/paced-connections.ts";
import type { CallerLimits } from "../../scheduling/routing/routing-configuration.ts";
import type { BufferLimiter } from "../buffers/buffer-limiter.ts";
import { CallerBuffers } from "../buffers/caller-buffers.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { CallerExchange } from "./caller-exchange.ts";
import { CALLERS_SHARE, connectionLimitsOf } from "./connection-limits.ts";
import { INSUFFICIENT_MEMORY } from "./insufficient-memory.ts";
import type { ProblemResponse } from "./problem-response.ts";
import { readBody } from "./read-body.ts";
import type { RequestHead } from "./request-head.ts";
import type { RequestVerdict } from "./request-verdict.ts";

const CONNECTION_CHECK_INTERVAL_MS = 1_000;
/** Added to the idle timeout that callers are told, so that no request is sent while its connection is being closed. */
const IDLE_MARGIN_MS = 1_000;
const NO_BODY = Buffer.alloc(0);
/** Memory that a request uses while it is served, besides its head and its body, in bytes. */
const REQUEST_BYTES = 16_384;
/** Memory that a string uses in addition to its characters, in bytes. */
const STRING_BYTES = 32;
const BODY_TOO_LARGE: ProblemResponse = {
  status: 413,
  kind: "body-too-large",
  detail: "The body is over the limit.",
};
/** The verdict on requests until `onHead` is set. */
const STARTING: RequestVerdict = {
  type: "refuse",
  problem: { status: 503, kind: "starting", detail: "This gateway starts.", retryAfterMs: 250 },
};
/** The limits until a configuration is known. */
const INITIAL_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};

export class IngressServer {
  readonly #context: GatewayContext;
  readonly #limiter: BufferLimiter;
  readonly #server: Server & { maxHeaderSize?: number };
  readonly #connections: PacedConnections;
  /** The requests that were read and whose answers are not complete yet. */
  readonly #exchanges = new Set<CallerExchange>();
  #limits = INITIAL_LIMITS;
  #active = 0;
  #stopping = false;
  /** Decides on each request by its head. */
  onHead: (head: RequestHead) => RequestVerdict = () => STARTING;

  constructor(context: GatewayContext, limiter: BufferLimiter) {
    this.#context = context;
    this.#limiter = limiter;
    this.#server = createServer({
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      keepAlive: true,
      noDelay: true,
    });
    // The size of a head is limited, not the number of its lines: lines beyond a number would be left out.
    this.#server.maxHeadersCount = 0;
    this.#applyLimits(INITIAL_LIMITS);
    this.#connections = new PacedConnections(
      this.#server,
      connectionLimitsOf(context.settings, CALLERS_SHARE),
    );
    this.#connections.onClosed = (reason) => context.metrics.recordConnectionClosed("callers", reason);
    this.#server.on("request", (request, response) => void this.#serve(request, response));
  }

  /** The number of requests whose answer is not complete yet. */
  get active(): number {
    return this.#active;
  }

  /** The number of connections of callers. */
  get connections(): number {
    return this.#connections.count;
  }

  /** Bytes that callers have sent and that have not been processed yet. */
  get unprocessedBytes(): number {
    return this.#connections.heldBytes;
  }

  /** Listens on `IP:port`. */
  listen(address: string): Promise<void> {
    return listenAt(this.#server, address);
  }

  /** Applies the limits that operators configured. */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.#applyLimits(limits);
  }

  /** Begins a planned stop: from now on, every answer closes its connection, and idle connections are closed. */
  beginStop(): void {
    this.#stopping = true;
    this.#connections.closeIdle();
  }

  /** Accepts no new connections, and closes idle ones. */
  stopListening(): void {
    this.#server.close();
  }

  /** Breaks off the answers that are not complete, before the process ends: its end alone does not show that they are not. */
  breakOffUnfinished(): void {
    for (const exchange of this.#exchanges) exchange.breakOff();
  }

  #applyLimits(limits: CallerLimits): void {
    this.#server.maxHeaderSize = limits.headerBytes;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = this.#context.clock.monotonicMs();
    const connection = PacedConnections.connectionOf(request);
    this.#active += 1;
    const head = headOf(request, arrivedAtMs);
    const buffers = new CallerBuffers(this.#limiter);
    buffers.add("requests", REQUEST_BYTES + headBytes(request));
    let exchange: CallerExchange | undefined;
    let isClosed = false;
    response.on("close", () => {
      isClosed = true;
      this.#active -= 1;
      buffers.close();
      if (exchange) this.#exchanges.delete(exchange);
    });
    const createExchange = (body: Buffer) => {
      const shouldClose = () => this.#stopping || connection.closesWithAnswer;
      exchange = new CallerExchange(request, response, body, head, buffers, shouldClose);
      if (!isClosed) this.#exchanges.add(exchange);
      return exchange;
    };
    const verdict = this.onHead(head);
    if (verdict.type === "refuse") return createExchange(NO_BODY).refuse(verdict.problem);
    if (head.bodyBytes > this.#limits.bodyBytes) return createExchange(NO_BODY).refuse(BODY_TOO_LARGE);
    const reading = readBody(request, this.#limits.bodyBytes, buffers);
    connection.countFraming(request);
    const outcome = await reading;
    if (outcome.type === "broken") return;
    if (outcome.type === "noMemory") return createExchange(NO_BODY).refuse(INSUFFICIENT_MEMORY);
    if (outcome.type === "tooLarge") return createExchange(NO_BODY).refuse(BODY_TOO_LARGE);
    verdict.run(createExchange(outcome.body));
  }
}

/** Memory that the parsed head of a request uses, in bytes. */
function headBytes({ rawHeaders, url = "" }: IncomingMessage): number {
  return rawHeaders.reduce((bytes, { length }) => bytes + length + STRING_BYTES, url.length);
}

function headOf(request: IncomingMessage, arrivedAtMs: number): RequestHead {
  const { headers } = request;
  const host = (headers.host ?? "").split(":", 1)[0]?.toLowerCase() ?? "";
  const path = (request.url ?? "/").split("?", 1)[0] as string;
  const bodyBytes = Number(headers["content-length"] ?? 0);
  return { host, path, headers, bodyBytes, arrivedAtMs };
}

/** Makes a server listen on `IP:port`. */
export function listenAt(server: Server, address: string): Promise<void> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(port), host, () => resolve());
  });
}
