import { createServer, type Server } from "node:http";
import { listenAt } from "../runtime/listen-at.ts";
import type { MetricsSource } from "./metrics.ts";

/** Serves `GET /metrics` (Prometheus text) and `GET /healthz` of a node. */
export class MetricsServer {
  readonly #server: Server;

  constructor(metrics: MetricsSource, isReady: () => boolean) {
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
  }

  /** Listens; returns the address, with the port that was taken for port 0. */
  listen(address: string): Promise<string> {
    return listenAt(this.#server, address);
  }

  /** Ends at once. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
