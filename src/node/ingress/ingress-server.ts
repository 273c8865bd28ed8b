import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { problemOf, requestError } from "../../errors/tulipwheel-error.ts";
import { listenAt } from "../../runtime/listen-at.ts";
import type { ProgramRecord } from "../../scheduling/program/records.ts";
import type { IngressSettings } from "../../settings/ingress-settings.ts";
import { type CallHeaders, handleChatCompletion, requireProgramHeader } from "./chat-completions.ts";
import { HttpExchange, problemDocument } from "./http-exchange.ts";
import type { Ingress } from "./ingress.ts";
import { checkBody, openProgramSchema, parsePositiveInteger } from "./request-schemas.ts";
import { handleServiceCall } from "./service-calls.ts";

const CONNECTIONS_CHECK_INTERVAL_MS = 500;
const CREATED = 201;
const OK = 200;
const NOT_READY = 503;
const RETRY_AFTER_MS = 1_000;

/** The state of the node that the server needs. */
export interface IngressNode {
  /** Whether the node can serve requests. */
  readonly ready: boolean;
  /** Returns the addresses that callers of a zone may use, nearest first. */
  callerAddresses(zone: string | undefined): readonly string[];
}

/** The HTTP interface for callers; docs/API.md describes it. */
export class IngressServer {
  readonly #ingress: Ingress;
  readonly #settings: IngressSettings;
  readonly #node: IngressNode;
  readonly #server: Server;
  #activeRequests = 0;
  #draining = false;

  constructor(ingress: Ingress, settings: IngressSettings, node: IngressNode) {
    this.#ingress = ingress;
    this.#settings = settings;
    this.#node = node;
    const { headerBytes, requestMs } = settings.limits;
    this.#server = createServer({
      maxHeaderSize: headerBytes,
      requestTimeout: requestMs,
      headersTimeout: requestMs,
      connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS,
    });
    this.#server.on("request", (request, response) => void this.#serve(request, response));
    this.#server.on("clientError", (error, socket) => sendMalformedProblem(error, socket as Socket));
  }

  /** Number of requests in progress. */
  get activeRequests(): number {
    return this.#activeRequests;
  }

  /** Starts listening; returns the address, with the assigned port if port 0 was given. */
  listen(address: string): Promise<string> {
    return listenAt(this.#server, address);
  }

  /** Accepts no new connections and waits for requests in progress, until the drain time is over. */
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

  /** Closes all connections immediately. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const exchange = new HttpExchange(request, response, this.#settings.limits.bodyBytes);
    if (this.#draining) response.setHeader("connection", "close");
    this.#activeRequests += 1;
    try {
      if (this.#activeRequests > this.#settings.limits.concurrentRequests) {
        const detail = `More than ${this.#settings.limits.concurrentRequests} requests are in progress.`;
        throw requestError("overloaded", detail, { retryAfterMs: RETRY_AFTER_MS });
      }
      await this.#route(exchange);
    } catch (error) {
      exchange.sendError(error);
    } finally {
      this.#activeRequests -= 1;
    }
  }

  #route(exchange: HttpExchange): Promise<void> | void {
    const { pathname } = exchange.url;
    if (pathname === "/healthz") return this.#sendHealth(exchange);
    if (pathname === "/v1/addresses" && exchange.method === "GET") return this.#sendAddresses(exchange);
    if (pathname === "/v1/chat/completions" && exchange.method === "POST")
      return this.#handleChatCompletion(exchange);
    if (pathname === "/v1/programs" && exchange.method === "POST") return this.#openProgram(exchange);
    if (pathname.startsWith("/v1/programs/")) return this.#handleProgram(exchange);
    if (pathname.startsWith("/v1/services/")) {
      return handleServiceCall(this.#ingress, exchange, this.#callHeaders(exchange));
    }
    if (pathname.startsWith("/v1/decisions/")) return this.#sendDecision(exchange);
    throw requestError("not-found", `There is nothing at ${exchange.method} ${pathname}.`);
  }

  #sendHealth(exchange: HttpExchange): void {
    const ready = this.#node.ready && !this.#draining;
    exchange.sendJson(ready ? OK : NOT_READY, { ready, draining: this.#draining });
  }

  #sendAddresses(exchange: HttpExchange): void {
    const addresses = this.#node.callerAddresses(exchange.url.searchParams.get("zone") ?? undefined);
    if (addresses.length === 0) {
      throw requestError("unavailable", "No node is known yet.", { retryAfterMs: RETRY_AFTER_MS });
    }
    exchange.sendJson(OK, { addresses, ttlSeconds: this.#settings.timing.addressesTtlS });
  }

  #handleChatCompletion(exchange: HttpExchange): Promise<void> {
    const headers = this.#callHeaders(exchange);
    return handleChatCompletion(this.#ingress, exchange, headers, this.#settings.limits.defaultMaxTokens);
  }

  async #openProgram(exchange: HttpExchange): Promise<void> {
    const body = checkBody(openProgramSchema, await exchange.json());
    const tenant = body.tenant ?? this.#requireTenant(exchange);
    const { template, parent, deadlineMs } = body;
    const program = await this.#ingress.openProgram({ tenant, template, parent, deadlineMs });
    exchange.sendJson(CREATED, programView(program), { location: `/v1/programs/${program.id}` });
  }

  async #handleProgram(exchange: HttpExchange): Promise<void> {
    const [, , , id, part, ...rest] = exchange.url.pathname.split("/");
    const tenant = this.#requireTenant(exchange);
    if (exchange.method === "DELETE" && part === undefined) {
      return exchange.sendJson(OK, programView(await this.#ingress.endProgram(id, tenant)));
    }
    if (exchange.method === "GET" && rest.length === 0 && (part === undefined || part === "history")) {
      const program = await this.#ingress.readProgram(id, tenant);
      return exchange.sendJson(OK, part === "history" ? historyView(program) : programView(program));
    }
    throw requestError("not-found", `There is nothing at ${exchange.method} ${exchange.url.pathname}.`);
  }

  async #sendDecision(exchange: HttpExchange): Promise<void> {
    const subject = decodeURIComponent(exchange.url.pathname.slice("/v1/decisions/".length));
    exchange.sendJson(OK, await this.#ingress.readDecision(subject, this.#requireTenant(exchange)));
  }

  #requireTenant(exchange: HttpExchange): string {
    const tenant = exchange.header("tulipwheel-tenant") ?? this.#settings.defaultTenant;
    if (tenant) return tenant;
    throw requestError("invalid-request", "The header Tulipwheel-Tenant must name the tenant.");
  }

  #callHeaders(exchange: HttpExchange): CallHeaders {
    return {
      tenant: this.#requireTenant(exchange),
      program: requireProgramHeader(exchange.header("tulipwheel-program")),
      number: parsePositiveInteger("Tulipwheel-Call", exchange.header("tulipwheel-call")),
      idempotencyKey: exchange.header("idempotency-key"),
      patienceMs: parsePositiveInteger("Tulipwheel-Timeout-Ms", exchange.header("tulipwheel-timeout-ms")),
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

/** Sends a problem document for input that Node.js could not parse as a request. */
function sendMalformedProblem(error: NodeJS.ErrnoException, socket: Socket): void {
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
