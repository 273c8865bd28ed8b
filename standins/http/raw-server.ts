/** A server that answers each connection with given bytes as soon as a request begins, whatever the request says. */
import { createServer, type Server, type Socket } from "node:net";

/** What follows the bytes of an answer. */
export type RawEnd =
  /** The connection stays open. */
  | "none"
  /** The server closes its side, having read what came. */
  | "fin"
  /** The server resets the connection together with the last bytes. */
  | "reset"
  /** The server closes its side without reading on, and resets the connection a little later. */
  | "finThenReset";

const RESET_DELAY_MS = 20;

export class RawServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Requests that were answered. */
  requestCount = 0;

  /**
   * @param answer the bytes, as latin1 text
   * @param readsRequest whether the request is read further once it has begun
   */
  constructor(answer: string, end: RawEnd, readsRequest: boolean) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.once("data", () => {
        this.requestCount += 1;
        if (!readsRequest) socket.pause();
        socket.write(answer, "latin1");
        endSocket(socket, end);
      });
    });
  }

  /** Listens at a free port of the loopback interface, and returns `IP:port`. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    const address = this.#server.address();
    return `127.0.0.1:${typeof address === "object" && address ? address.port : 0}`;
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}

function endSocket(socket: Socket, end: RawEnd): void {
  if (end === "reset") socket.resetAndDestroy();
  if (end === "fin" || end === "finThenReset") socket.end();
  if (end === "finThenReset") setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
}
