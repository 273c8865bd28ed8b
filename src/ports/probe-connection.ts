/** Finds out whether a process accepts connections. */
import { connect } from "node:net";

/** What became of a connection that was opened to find out. */
export type ConnectionProbe =
  | "accepted"
  /** Nothing listens at the address. */
  | "refused"
  /** Neither, within the time. */
  | "unanswered";

/** Opens a connection to `IP:port` and closes it at once. */
export function probeConnection(address: string, timeoutMs: number): Promise<ConnectionProbe> {
  const [host = "", port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const settle = (result: ConnectionProbe) => {
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(timeoutMs, () => settle("unanswered"));
    socket.once("connect", () => settle("accepted"));
    socket.once("error", ({ code }: NodeJS.ErrnoException) => {
      settle(code === "ECONNREFUSED" ? "refused" : "unanswered");
    });
  });
}
