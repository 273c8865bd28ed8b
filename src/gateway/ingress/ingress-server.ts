/**
 * Serves callers' requests over HTTP: has each request accepted or refused by its head, reads the body, and passes both on.
 * A planned stop closes connections between requests.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { CallerLimits } from "../../scheduling/routing/routing-configuration.ts";
import type { BufferLimiter } from "../buffers/buffer-limiter.ts";
import { CallerBuffers } from "../buffers/caller-buffers.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { CallerConnections } from "./caller-connections.ts";
import { CallerExchange } from "./caller-exchange.ts";
import { INSUFFICIENT_MEMORY } from "./insufficient-memory.ts";
import type { ProblemResponse } from "./problem-response.ts";
import { readBody } from "./read-body.ts";
import type { RequestHead } from "./request-head.ts";
import type { RequestVerdict } from "./request-verdict.ts";

const MAX_HEADER_BYTES = 65_536;
const CONNECTION_CHECK_INTERVAL_MS = 1_000;
/** Added to the idle timeout that callers are told, so that no request is sent while its connection is being closed. */
const IDLE_MARGIN_MS = 1_000;
const NO_BODY = Buffer.alloc(0);
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
  readonly #server: Server;
  readonly #connections = new CallerConnections();
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
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      keepAlive: true,
      noDelay: true,
    });
    this.#applyLimits(INITIAL_LIMITS);
    this.#server.on("request", (request, response) => void this.#serve(request, response));
    this.#server.on("connection", (socket) => this.#connections.add(socket));
    // Node.js takes a connection for idle once `end` was called on its answer, also while bytes of the answer wait for the
    // caller. `close` calls this method, too.
    this.#server.closeIdleConnections = () => this.#connections.closeIdle();
  }

  /** The number of requests whose answer is not complete yet. */
  get active(): number {
    return this.#active;
  }

  /** The number of connections of callers. */
  get connections(): number {
    return this.#connections.count;
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
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = this.#context.clock.monotonicMs();
    const { socket } = request;
    this.#active += 1;
    this.#connections.beginAnswer(socket);
    const head = headOf(request, arrivedAtMs);
    const buffers = new CallerBuffers(this.#limiter);
    let exchange: CallerExchange | undefined;
    let isClosed = false;
    response.on("close", () => {
      isClosed = true;
      this.#active -= 1;
      this.#connections.endAnswer(socket);
      buffers.close();
      if (exchange) this.#exchanges.delete(exchange);
    });
    const createExchange = (body: Buffer) => {
      exchange = new CallerExchange(request, response, body, head, buffers, () => this.#stopping);
      if (!isClosed) this.#exchanges.add(exchange);
      return exchange;
    };
    const verdict = this.onHead(head);
    if (verdict.type === "refuse") return createExchange(NO_BODY).refuse(verdict.problem);
    const outcome = await readBody(request, this.#limits.bodyBytes, buffers);
    if (outcome.type === "broken") return;
    if (outcome.type === "noMemory") return createExchange(NO_BODY).refuse(INSUFFICIENT_MEMORY);
    if (outcome.type === "tooLarge") return createExchange(NO_BODY).refuse(BODY_TOO_LARGE);
    verdict.run(createExchange(outcome.body));
  }
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
