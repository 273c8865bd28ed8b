/** Tests of the transport between processes when the other side stops, restarts or does not respond. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createConnection, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { TcpTransport } from "../../src/runtime/tcp-transport.ts";

interface Note {
  readonly text: string;
}

const openTransports: TcpTransport<Note>[] = [];

async function listen(instance: string, address = "127.0.0.1:0"): Promise<TcpTransport<Note>> {
  const transport = await TcpTransport.listen<Note>({ instance, address });
  openTransports.push(transport);
  return transport;
}

/** Resolves with the text of the next message that arrives. */
function nextMessage(transport: TcpTransport<Note>): Promise<string> {
  return new Promise((resolve) => {
    transport.onMessage(({ text }) => resolve(text));
  });
}

describe("TCP transport", () => {
  afterEach(async () => {
    await Promise.all(openTransports.splice(0).map((transport) => transport.close()));
  });

  it("reaches a process that was started at the address of an earlier, unresponsive process", async () => {
    // The earlier process accepts connections but never reads or responds, like a machine that lost power.
    const silentSockets: Socket[] = [];
    const silentServer = createServer((socket) => {
      socket.pause();
      silentSockets.push(socket);
    });
    await new Promise<void>((resolve) => silentServer.listen(0, "127.0.0.1", resolve));
    const bound = silentServer.address();
    const address = `127.0.0.1:${typeof bound === "object" && bound ? bound.port : 0}`;
    const one = await listen("one#1");
    const received = nextMessage(one);
    one.send(address, { text: "to the unresponsive process" });
    await new Promise((resolve) => setTimeout(resolve, 50));
    await new Promise<void>((resolve) => {
      silentServer.close(() => resolve());
      for (const socket of silentSockets) socket.destroy();
    });
    const two = await listen("two#2", address);
    two.send(one.self.address, { text: "from the restarted process" });
    expect(await received).toEqual("from the restarted process");
    const answer = nextMessage(two);
    one.send(address, { text: "to the restarted process" });
    expect(await answer).toEqual("to the restarted process");
  });

  it("uses the connection of the newer process while one to the earlier process is still open", async () => {
    const one = await listen("one#1");
    const earlier = await listen("two#1");
    const address = earlier.self.address;
    const first = nextMessage(one);
    earlier.send(one.self.address, { text: "first" });
    expect(await first).toEqual("first");
    // The earlier process stops without closing its connection, so that the connection stays open at the first one.
    const restarted = await TcpTransport.listen<Note>({ instance: "two#2", address: "127.0.0.1:0" });
    openTransports.push(restarted);
    Object.defineProperty(restarted.self, "address", { value: address });
    const second = nextMessage(one);
    restarted.send(one.self.address, { text: "second" });
    expect(await second).toEqual("second");
    const answer = nextMessage(restarted);
    one.send(address, { text: "to the newer" });
    expect(await answer).toEqual("to the newer");
  });

  it("reports whether a connection was refused or has ended", async () => {
    const one = await listen("one#1");
    const reasons: string[] = [];
    const disconnected = () =>
      new Promise<void>((resolve) => {
        one.onDisconnected((_, reason) => {
          reasons.push(reason);
          resolve();
        });
      });
    const two = await listen("two#1");
    const address = two.self.address;
    const received = nextMessage(two);
    one.send(address, { text: "here" });
    await received;
    const first = disconnected();
    await two.close();
    await first;
    const second = disconnected();
    one.send(address, { text: "after the end" });
    await second;
    expect(reasons).toEqual(["ended", "refused"]);
  });

  it("reports soon that a connection attempt timed out", async () => {
    // A stopped process with a full backlog responds to no more connection attempts.
    const script =
      'const s = require("node:net").createServer(); s.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => console.log(s.address().port))';
    const child = spawn(process.execPath, ["-e", script], { stdio: ["ignore", "pipe", "inherit"] });
    const [line] = (await once(child.stdout, "data")) as [Buffer];
    child.kill("SIGSTOP");
    const port = Number(line.toString());
    const waiting = Array.from({ length: 4 }, () => createConnection({ host: "127.0.0.1", port }));
    for (const socket of waiting) socket.on("error", () => undefined);
    await new Promise((resolve) => setTimeout(resolve, 100));
    const one = await listen("one#1");
    const startedMs = performance.now();
    const reason = new Promise<string>((resolve) => one.onDisconnected((_, cause) => resolve(cause)));
    one.send(`127.0.0.1:${port}`, { text: "to the stopped process" });
    expect(await reason).toEqual("unanswered");
    const elapsedMs = performance.now() - startedMs;
    expect(elapsedMs >= 190 && elapsedMs < 800).toEqual(true);
    for (const socket of waiting) socket.destroy();
    child.kill("SIGKILL");
  });

  it("sends a deferred message with the next message, or after its delay", async () => {
    const one = await listen("one#1");
    const two = await listen("two#1");
    const received: string[] = [];
    two.onMessage(({ text }) => received.push(text));
    const untilReceived = async (count: number) => {
      while (received.length < count) await new Promise((resolve) => setTimeout(resolve, 5));
    };
    one.send(two.self.address, { text: "may wait" }, 10_000);
    one.send(two.self.address, { text: "at once" });
    await untilReceived(2);
    expect(received).toEqual(["may wait", "at once"]);
    expect(one.counters.batchesSent).toEqual(1);
    one.send(two.self.address, { text: "alone" }, 20);
    expect(one.counters.messagesSent).toEqual(2);
    await untilReceived(3);
    expect(one.counters.batchesSent).toEqual(2);
  });

  it("drops deferred messages for a process that has stopped", async () => {
    const one = await listen("one#1");
    const two = await listen("two#1");
    const received = nextMessage(two);
    one.send(two.self.address, { text: "here" });
    await received;
    const reasons: string[] = [];
    const disconnected = new Promise<void>((resolve) => {
      one.onDisconnected((_, reason) => {
        reasons.push(reason);
        resolve();
      });
    });
    one.send(two.self.address, { text: "may wait" }, 30);
    await two.close();
    await disconnected;
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect(reasons).toEqual(["ended"]);
  });
});
