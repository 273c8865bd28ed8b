import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { problemOf, requestError } from "../../errors/tulipwheel-error.ts";
import type { ProgramRecord } from "../../scheduling/program/records.ts";
import type { SidecarSettings } from "../../settings/sidecar-settings.ts";
import type { MetricsSource } from "../../telemetry/metrics.ts";
import type { SidecarCore } from "../sidecar-core.ts";
import { type CallHeaders, chatCompletions, requireProgram } from "./chat-completions.ts";
import { HttpExchange, problemDocument } from "./http-exchange.ts";
import { checkBody, checkPositiveInteger, openProgramSchema } from "./request-schemas.ts";
import { serviceCalls } from "./service-calls.ts";

const CONNECTIONS_CHECK_MS = 500;
const CREATED = 201;
const OK = 200;
const NOT_READY = 503;
const RETRY_AFTER_MS = 1_000;

/** The HTTP interface for callers; docs/API.md describes it. */
export class SidecarServer {
  readonly #core: SidecarCore;
  readonly #settings: SidecarSettings;
  readonly #metrics: MetricsSource;
  readonly #server: Server;
  #active = 0;
  #draining = false;

  constructor(core: SidecarCore, settings: SidecarSettings, metrics: MetricsSource) {
    this.#core = core;
    this.#settings = settings;
    this.#metrics = metrics;
    const { headerBytes, requestMs } = settings.limits;
    this.#server = createServer({
      maxHeaderSize: headerBytes,
      requestTimeout: requestMs,
      headersTimeout: requestMs,
      connectionsCheckingInterval: CONNECTIONS_CHECK_MS,
    });
    this.#server.on("request", (request, response) => void this.#serve(request, response));
    this.#server.on("clientError", (error, socket) => refuseMalformed(error, socket as Socket));
  }

  /** Requests in progress. */
  get activeRequests(): number {
    return this.#active;
  }

  /** Listens; returns the address, with the port that was taken for port 0. */
  listen(): Promise<string> {
    const [host, port] = this.#settings.listen.split(":");
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(port), host, () => {
        const bound = this.#server.address();
        resolve(`${host}:${typeof bound === "object" && bound ? bound.port : port}`);
      });
    });
  }

  /** Takes no new connections and lets requests in progress end. */
  async drain(): Promise<void> {
    this.#draining = true;
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#server.closeIdleConnections();
    const timer = setTimeout(() => this.#server.closeAllConnections(), this.#settings.timing.drainMs);
    await closed;
    clearTimeout(timer);
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const exchange = new HttpExchange(request, response, this.#settings.limits.bodyBytes);
    if (this.#draining) response.setHeader("connection", "close");
    this.#active += 1;
    try {
      if (this.#active > this.#settings.limits.concurrentRequests) {
        const detail = `More than ${this.#settings.limits.concurrentRequests} requests are in progress.`;
        throw requestError("overloaded", detail, { retryAfterMs: RETRY_AFTER_MS });
      }
      await this.#route(exchange);
    } catch (error) {
      exchange.sendError(error);
    } finally {
      this.#active -= 1;
    }
  }

  #route(exchange: HttpExchange): Promise<void> | void {
    const { pathname } = exchange.url;
    if (pathname === "/healthz") return this.#health(exchange);
    if (pathname === "/metrics") return this.#sendMetrics(exchange);
    if (pathname === "/v1/chat/completions" && exchange.method === "POST") return this.#chat(exchange);
    if (pathname === "/v1/programs" && exchange.method === "POST") return this.#openProgram(exchange);
    if (pathname.startsWith("/v1/programs/")) return this.#program(exchange);
    if (pathname.startsWith("/v1/services/")) {
      return serviceCalls(this.#core, exchange, this.#callHeaders(exchange));
    }
    if (pathname.startsWith("/v1/decisions/")) return this.#decision(exchange);
    throw requestError("not-found", `There is nothing at ${exchange.method} ${pathname}.`);
  }

  #health(exchange: HttpExchange): void {
    const ready = this.#core.ready && !this.#draining;
    exchange.sendJson(ready ? OK : NOT_READY, { ready, draining: this.#draining });
  }

  async #sendMetrics(exchange: HttpExchange): Promise<void> {
    const { contentType, text } = await this.#metrics.render();
    exchange.response.writeHead(OK, { "content-type": contentType });
    exchange.response.end(text);
  }

  #chat(exchange: HttpExchange): Promise<void> {
    const headers = this.#callHeaders(exchange);
    return chatCompletions(this.#core, exchange, headers, this.#settings.limits.defaultMaxTokens);
  }

  async #openProgram(exchange: HttpExchange): Promise<void> {
    const body = checkBody(openProgramSchema, await exchange.json());
    const tenant = body.tenant ?? this.#tenant(exchange);
    const { template, parent, deadlineMs } = body;
    const program = await this.#core.openProgram({ tenant, template, parent, deadlineMs });
    exchange.sendJson(CREATED, programView(program), { location: `/v1/programs/${program.id}` });
  }

  async #program(exchange: HttpExchange): Promise<void> {
    const [, , , id, part, ...rest] = exchange.url.pathname.split("/");
    const tenant = this.#tenant(exchange);
    if (exchange.method === "DELETE" && part === undefined) {
      return exchange.sendJson(OK, programView(await this.#core.endProgram(id, tenant)));
    }
    if (exchange.method === "GET" && rest.length === 0 && (part === undefined || part === "history")) {
      const program = await this.#core.readProgram(id, tenant);
      return exchange.sendJson(OK, part === "history" ? historyView(program) : programView(program));
    }
    throw requestError("not-found", `There is nothing at ${exchange.method} ${exchange.url.pathname}.`);
  }

  async #decision(exchange: HttpExchange): Promise<void> {
    const subject = decodeURIComponent(exchange.url.pathname.slice("/v1/decisions/".length));
    exchange.sendJson(OK, await this.#core.readDecision(subject, this.#tenant(exchange)));
  }

  #tenant(exchange: HttpExchange): string {
    const tenant = exchange.header("tulipwheel-tenant") ?? this.#settings.defaultTenant;
    if (tenant) return tenant;
    throw requestError("invalid-request", "The header Tulipwheel-Tenant must name the tenant.");
  }

  #callHeaders(exchange: HttpExchange): CallHeaders {
    return {
      tenant: this.#tenant(exchange),
      program: requireProgram(exchange.header("tulipwheel-program")),
      number: checkPositiveInteger("Tulipwheel-Call", exchange.header("tulipwheel-call")),
      idempotencyKey: exchange.header("idempotency-key"),
      patienceMs: checkPositiveInteger("Tulipwheel-Timeout-Ms", exchange.header("tulipwheel-timeout-ms")),
    };
  }
}

function programView(program: ProgramRecord): object {
  const { id, tenant, template, parent, depth, openedAtMs, deadlineAtMs, endedAtMs, endReason } = program;
  const { nextNumber, historyTokens, chargedTokens } = program;
  return {
    id,
    tenant,
    template,
    parent,
    depth,
    openedAtMs,
    deadlineAtMs,
    endedAtMs,
    endReason,
    nextNumber,
    historyTokens,
    chargedTokens,
    calls: program.calls.map((call) => ({
      id: call.id,
      number: call.number,
      state: call.outcome?.type ?? "running",
      attempt: call.attempt,
    })),
  };
}

function historyView(program: ProgramRecord): object {
  return { id: program.id, messages: program.history, tokens: program.historyTokens };
}

/** Answers what Node.js itself could not read as a request. */
function refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable) return;
  const problem = malformedProblem(error.code);
  const body = JSON.stringify(problemDocument(problem));
  socket.end(
    `HTTP/1.1 ${problem.status} ${problem.title}\r\nContent-Type: application/problem+json\r\n` +
      `Content-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`,
  );
}

function malformedProblem(code: string | undefined) {
  if (code === "ERR_HTTP_REQUEST_TIMEOUT")
    return problemOf("request-timeout", "The request did not arrive in time.");
  if (code === "HPE_HEADER_OVERFLOW")
    return problemOf("headers-too-large", "The request's head is too large.");
  return problemOf("invalid-request", "The request is not HTTP.");
}
