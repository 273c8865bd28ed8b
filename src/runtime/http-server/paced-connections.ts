/**
 * The connections of an HTTP server whose clients may misbehave. Limits their number and what they hold, and paces what they
 * send; see {@link PacedConnection}.
 */
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { HeldBytesBudget } from "./held-bytes-budget.ts";
import { PacedConnection } from "./paced-connection.ts";
import { ReadPacer } from "./read-pacer.ts";

/** Time without progress after which a connection that waits for its client may be closed in favour of a new one, in ms. */
const STALLED_MS = 2_000;

/** Limits of a server's connections. */
export interface ConnectionLimits {
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** Maximum number of bytes that they hold together of what they have received and the server has not processed. */
  readonly maxHeldBytes: number;
}

/** Why a connection was closed. */
export type ConnectionCloseReason =
  /** It was not in use, and another client connected when there were too many. */
  | "replaced"
  /** There were too many when it was opened, and all of them were in use. */
  | "refused"
  /** The connections held too many bytes, this one more than its share. */
  | "memoryShort";

export class PacedConnections {
  readonly #limits: ConnectionLimits;
  readonly #budget: HeldBytesBudget;
  readonly #pacer = new ReadPacer();
  readonly #open = new Set<PacedConnection>();
  /** Called when a connection is closed because of a limit. */
  onClosed: (reason: ConnectionCloseReason) => void = () => undefined;

  /** Takes over the connections that a server accepts from now on. */
  constructor(server: Server, limits: ConnectionLimits) {
    this.#limits = limits;
    this.#budget = new HeldBytesBudget(limits.maxHeldBytes);
    const [serve] = server.listeners("connection") as ((connection: Duplex) => void)[];
    server.removeAllListeners("connection");
    server.on("connection", (socket) =>
      this.#accept(socket, (connection) => serve?.call(server, connection)),
    );
    server.prependListener("request", (request, response) => {
      PacedConnections.connectionOf(request).begin(request, response);
    });
    // The runtime takes a connection for idle once `end` was called on its answer, also while bytes of the answer wait for
    // the client. `close` calls this method, too.
    server.closeIdleConnections = () => this.closeIdle();
    server.closeAllConnections = () => this.closeAll();
  }

  /** The connection of a request to a server whose connections are paced. */
  static connectionOf(request: IncomingMessage): PacedConnection {
    return request.socket as unknown as PacedConnection;
  }

  /** The number of open connections. */
  get count(): number {
    return this.#open.size;
  }

  /** Bytes that were received and not processed yet. */
  get heldBytes(): number {
    return this.#budget.heldBytes;
  }

  /**
   * Closes the connections on which every request is answered and nothing has arrived since. Connections on which nothing
   * was sent yet stay open: a first request may be under way.
   */
  closeIdle(): void {
    for (const connection of this.#open) if (connection.isIdle) connection.destroy();
  }

  closeAll(): void {
    for (const connection of this.#open) connection.destroy();
  }

  #accept(socket: Socket, serve: (connection: Duplex) => void): void {
    if (this.#open.size >= this.#limits.maxConnections && !this.#closeOne()) {
      this.onClosed("refused");
      socket.destroy();
      return;
    }
    const connection = new PacedConnection(socket, {
      pacer: this.#pacer,
      budget: this.#budget,
      onOverBudget: () => this.onClosed("memoryShort"),
    });
    this.#open.add(connection);
    connection.on("close", () => this.#open.delete(connection));
    serve(connection);
  }

  /**
   * Closes the connection that has been unused for longest, or else the one that has waited for its client for longest.
   * Returns whether there was one.
   */
  #closeOne(): boolean {
    const stalledSinceMs = performance.now() - STALLED_MS;
    const found =
      this.#longestWithoutProgress((connection) => connection.isUnused) ??
      this.#longestWithoutProgress(
        (connection) => connection.isWaitingForClient && connection.progressedAtMs < stalledSinceMs,
      );
    if (!found) return false;
    this.onClosed("replaced");
    this.#open.delete(found);
    found.destroy();
    return true;
  }

  #longestWithoutProgress(
    isCandidate: (connection: PacedConnection) => boolean,
  ): PacedConnection | undefined {
    let longest: PacedConnection | undefined;
    for (const connection of this.#open) {
      if (!isCandidate(connection)) continue;
      if (!longest || connection.progressedAtMs < longest.progressedAtMs) longest = connection;
    }
    return longest;
  }
}
