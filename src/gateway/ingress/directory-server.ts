/** Answers readiness checks of this gateway, and queries for the gateway addresses that callers should use. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { PacedConnections } from "../../runtime/http-server/paced-connections.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { MemberDirectory } from "../members/member-directory.ts";
import { connectionLimitsOf, OTHERS_SHARE } from "./connection-limits.ts";
import { listenAt } from "./ingress-server.ts";

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;
const JSON_TYPE = { "Content-Type": "application/json" };

export class DirectoryServer {
  readonly #context: GatewayContext;
  readonly #members: MemberDirectory;
  readonly #isReady: () => boolean;
  readonly #servers: Server[] = [];

  constructor(context: GatewayContext, members: MemberDirectory, isReady: () => boolean) {
    this.#context = context;
    this.#members = members;
    this.#isReady = isReady;
  }

  /** Listens on each of the addresses; one that is given twice counts once. */
  async listen(addresses: readonly string[]): Promise<void> {
    const { metrics, settings } = this.#context;
    for (const address of new Set(addresses)) {
      const server = createServer((request, response) => this.#serve(request, response));
      const connections = new PacedConnections(server, connectionLimitsOf(settings, OTHERS_SHARE));
      connections.onClosed = (reason) => metrics.recordConnectionClosed("directory", reason);
      this.#servers.push(server);
      await listenAt(server, address);
    }
  }

  close(): void {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const { entry } = this.#context.platform;
    const method = request.method ?? "";
    const url = request.url ?? "";
    request.resume();
    if (entry.isReadinessCheck(method, url)) {
      response.writeHead(this.#isReady() ? OK : UNAVAILABLE).end();
      return;
    }
    const query = entry.parseDirectoryQuery(method, url);
    if (!query) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    this.#answerQuery(query.zone, response);
  }

  #answerQuery(zone: string | undefined, response: ServerResponse): void {
    const addresses = this.#members.callerAddresses(zone);
    if (addresses.length === 0) {
      response.writeHead(UNAVAILABLE).end();
      return;
    }
    const ttlS = this.#context.settings.timing.directoryTtlS;
    response.writeHead(OK, JSON_TYPE).end(this.#context.platform.entry.directoryAnswer(addresses, ttlS));
  }
}
