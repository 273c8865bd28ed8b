/** Tests of timers that fire late because the event loop was blocked, while messages have arrived. */

import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { SystemClock } from "../../src/runtime/clock.ts";
import { RpcEndpoint } from "../../src/runtime/rpc.ts";
import { systemRandom } from "../../src/runtime/system-random.ts";

const TIMEOUT_MS = 20;
const BLOCKED_MS = 80;

/** Blocks the event loop of this process. */
function blockEventLoop(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}

describe("a process whose event loop was blocked", () => {
  const clock = new SystemClock();
  let server: Server;
  let clientSocket: Socket;
  let serverSocket: Socket;

  beforeEach(async () => {
    server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as { port: number };
    clientSocket = connect(port, "127.0.0.1");
    [serverSocket] = (await once(server, "connection")) as [Socket];
  });
  afterEach(() => {
    clientSocket.destroy();
    serverSocket.destroy();
    server.close();
  });

  // Guards against a gateway that takes dispatchers for unresponsive because it had no time to read their responses.
  it("reads a response that has arrived before it counts the request as timed out", async () => {
    const sent: unknown[] = [];
    const asking = new RpcEndpoint({ send: (_, message) => void sent.push(message) }, clock, systemRandom());
    clientSocket.on("data", () => {
      const { id } = sent[0] as { id: number };
      asking.onResponse({ type: "rpcResponse", id, result: { type: "redirect", leader: "other" } });
    });
    const reply = asking.ask("there", "anything" as never, {} as never, TIMEOUT_MS);
    serverSocket.write("answer");
    blockEventLoop(BLOCKED_MS);
    expect((await reply).type).toEqual("redirect");
  });

  it("does not run a timer that is cancelled by a message that has arrived", async () => {
    let fired = false;
    const timer = clock.schedule(TIMEOUT_MS, () => {
      fired = true;
    });
    clientSocket.on("data", () => clock.cancel(timer));
    serverSocket.write("answer");
    blockEventLoop(BLOCKED_MS);
    await new Promise((resolve) => setTimeout(resolve, BLOCKED_MS));
    expect(fired).toEqual(false);
  });

  it("counts a request as timed out when its response has not arrived", async () => {
    const rpc = new RpcEndpoint({ send: () => undefined }, clock, systemRandom());
    const reply = rpc.ask("there", "anything" as never, {} as never, TIMEOUT_MS);
    blockEventLoop(BLOCKED_MS);
    expect((await reply).type).toEqual("timeout");
  });
});
