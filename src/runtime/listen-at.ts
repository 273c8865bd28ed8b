import type { Server } from "node:net";

/**
 * Makes a server listen at `IP:port`. Resolves with the address; for port 0, it contains the port that was assigned.
 */
export function listenAt(server: Server, address: string): Promise<string> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(port), host, () => {
      const bound = server.address();
      resolve(`${host}:${typeof bound === "object" && bound ? bound.port : port}`);
    });
  });
}
