import { type AddressInfo, createServer } from "node:net";

/** An address of the loopback, `IP:port`, at which nobody listens at this moment. */
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
