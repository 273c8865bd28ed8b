import { createServer, type Server } from "node:http";
import { type ConnectionLimits, PacedConnections } from "../runtime/http-server/paced-connections.ts";
import { listenAt } from "../runtime/listen-at.ts";
import type { MetricsSource } from "./metrics.ts";

const DEFAULT_LIMITS: ConnectionLimits = { maxConnections: 256, maxHeldBytes: 8_000_000 };

/** HTTP server of a process for `GET /metrics` (Prometheus text) and `GET /healthz`. */
export class MetricsServer {
  readonly #server: Server;

  constructor(metrics: MetricsSource, isReady: () => boolean, limits = DEFAULT_LIMITS) {
    this.#server = createServer((request, response) => {
      if (request.url === "/healthz") {
        response.writeHead(isReady() ? 200 : 503, { "content-type": "application/json" });
        response.end(JSON.stringify({ ready: isReady() }));
        return;
      }
      void metrics.render().then(({ contentType, text }) => {
        response.writeHead(200, { "content-type": contentType });
        response.end(text);
      });
    });
    new PacedConnections(this.#server, limits);
  }

  /** Starts to listen; returns the address with the actual port, which port 0 leaves to the system. */
  listen(address: string): Promise<string> {
    return listenAt(this.#server, address);
  }

  /** Closes the server and its open connections immediately. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
