/**
 * Finds out whether a connection has ended in order. The runtime reports a reset as an end in order if it arrives together with
 * the last bytes, and the HTTP client takes any end of the connection for that of an answer without a length.
 */
import type { Socket } from "node:net";

export class ConnectionEndCheck {
  #defect: string | undefined;

  /** Why an answer that the end of the connection has ended is not whole; undefined while the connection has not ended. */
  get defect(): string | undefined {
    return this.#defect;
  }

  /** Watches a new connection. */
  watch(socket: Socket): void {
    this.#defect = undefined;
    socket.on("end", () => {
      this.#defect = defectOf(socket);
    });
  }
}

function defectOf(socket: Socket): string | undefined {
  // A server that ends its answer before it has the request does not read the rest, which resets the connection.
  if (socket.writableLength > 0) return "the connection ended before the whole request was sent";
  // The operating system knows the other end of a connection until it is reset.
  if (socket.remoteAddress === undefined) return "the connection was reset";
  return undefined;
}
