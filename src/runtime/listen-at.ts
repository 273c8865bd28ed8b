import type { Server } from "node:net";

/** Makes a server listen at `IP:port`; resolves with the address, with the port that was taken for port 0. */
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
