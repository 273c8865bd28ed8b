import { type AddressInfo, createServer } from "node:net";

/** Returns a loopback address, `IP:port`, on which no process listens at this moment. */
export function freeAddress(): Promise<string> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => {
      const { address, port } = server.address() as AddressInfo;
      server.close(() => resolve(`${address}:${port}`));
    });
  });
}
