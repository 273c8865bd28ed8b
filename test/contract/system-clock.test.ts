/** Timers of a process that is held up, beside what others have sent it meanwhile. */

import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { SystemClock } from "../../src/runtime/clock.ts";
import { RpcEndpoint } from "../../src/runtime/rpc.ts";
import { systemRandom } from "../../src/runtime/system-random.ts";

const TIMEOUT_MS = 20;
const BLOCKED_MS = 80;

/** Keeps this process from doing anything else. */
function blockEventLoop(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}

describe("a process that is held up", () => {
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

  // Guards against dispatchers that are taken for silent by a gateway that had no time to read their answers.
  it("takes in an answer that has arrived before it counts it as missed", async () => {
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

  it("forgets a timer that is cancelled by what has arrived", async () => {
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

  it("still misses an answer that has not arrived", async () => {
    const rpc = new RpcEndpoint({ send: () => undefined }, clock, systemRandom());
    const reply = rpc.ask("there", "anything" as never, {} as never, TIMEOUT_MS);
    blockEventLoop(BLOCKED_MS);
    expect((await reply).type).toEqual("timeout");
  });
});
