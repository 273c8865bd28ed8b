/** The connections of callers. Knows which of them are idle, so that a planned stop closes no other. */
import type { Socket } from "node:net";

/** What is known about one connection. */
interface ConnectionState {
  /** Requests that were read and whose answers have not been passed to the operating system completely. */
  unanswered: number;
  /** Bytes that had been read when the last answer was complete; undefined before that. */
  readAtLastAnswer: number | undefined;
}

export class CallerConnections {
  readonly #connections = new Map<Socket, ConnectionState>();

  /** The number of open connections. */
  get count(): number {
    return this.#connections.size;
  }

  add(socket: Socket): void {
    this.#connections.set(socket, { unanswered: 0, readAtLastAnswer: undefined });
    socket.on("close", () => this.#connections.delete(socket));
  }

  /** Records that a request has been read on a connection. */
  beginAnswer(socket: Socket): void {
    const state = this.#connections.get(socket);
    if (state) state.unanswered += 1;
  }

  /** Records that the operating system has the whole answer to a request. */
  endAnswer(socket: Socket): void {
    const state = this.#connections.get(socket);
    if (!state) return;
    state.unanswered -= 1;
    state.readAtLastAnswer = socket.bytesRead;
  }

  /**
   * Closes the connections on which every request is answered and nothing has arrived since. Connections on which nothing
   * was sent yet stay open: a first request may be under way.
   */
  closeIdle(): void {
    for (const [socket, { unanswered, readAtLastAnswer }] of this.#connections)
      if (unanswered === 0 && readAtLastAnswer === socket.bytesRead) socket.destroy();
  }
}
