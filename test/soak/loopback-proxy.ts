/** A TCP proxy between two processes on loopback that simulates link failures. */
import { createConnection, createServer, type Server, type Socket } from "node:net";
import { parseAddress } from "../../src/runtime/tcp-transport.ts";

/** What happens to bytes: forwarded, delayed, or dropped in one direction or both. */
export type LinkState = "open" | "delayed" | "cutToTarget" | "cutToCaller" | "silent";

/** A connection from a caller, paired with the one to the target. */
interface ProxiedConnection {
  /** Whether bytes were dropped. Nothing more is forwarded then, even after the link is open again. */
  hasDroppedBytes: boolean;
}

/** Forwards connections to a target address, subject to its state. */
export class LoopbackProxy {
  state: LinkState = "open";
  /** Delay of bytes in the state `delayed`, in ms. */
  delayMs = 200;
  readonly #target: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(target: string) {
    this.#target = target;
    this.#server = createServer({ noDelay: true }, (caller) => this.#accept(caller));
  }

  /** Listens at `IP:port`. */
  async listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Resets all connections; new ones are still accepted. */
  resetAll(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  close(): void {
    this.#server.close();
    this.resetAll();
  }

  #accept(caller: Socket): void {
    const target = createConnection({ ...parseAddress(this.#target), noDelay: true });
    const connection = { hasDroppedBytes: false };
    this.#forward(caller, target, connection, "cutToTarget");
    this.#forward(target, caller, connection, "cutToCaller");
  }

  #forward(from: Socket, to: Socket, connection: ProxiedConnection, cutState: LinkState): void {
    const isCut = () => this.state === "silent" || this.state === cutState;
    this.#sockets.add(from);
    from.on("data", (bytes: Buffer) => {
      connection.hasDroppedBytes ||= isCut();
      if (connection.hasDroppedBytes) return;
      this.#deliver(() => to.write(bytes));
    });
    from.on("end", () => {
      // The end of the data does not arrive before the data.
      if (!isCut() && !connection.hasDroppedBytes) this.#deliver(() => to.end());
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      if (connection.hasDroppedBytes) this.#deliver(() => to.resetAndDestroy());
      else if (!isCut()) this.#deliver(() => to.destroySoon());
    });
  }

  #deliver(action: () => void): void {
    if (this.state === "delayed") setTimeout(action, this.delayMs);
    else action();
  }
}
