/** The transport between processes, through ends and new starts of the other side. */
import { createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { TcpTransport } from "../../src/runtime/tcp-transport.ts";

interface Note {
  readonly text: string;
}

const open: TcpTransport<Note>[] = [];

async function listen(instance: string, address = "127.0.0.1:0"): Promise<TcpTransport<Note>> {
  const transport = await TcpTransport.listen<Note>({ instance, address });
  open.push(transport);
  return transport;
}

/** Resolves with the next message. */
function next(transport: TcpTransport<Note>): Promise<string> {
  return new Promise((resolve) => {
    transport.onMessage(({ text }) => resolve(text));
  });
}

describe("tcp transport", () => {
  afterEach(async () => {
    await Promise.all(open.splice(0).map((transport) => transport.close()));
  });

  it("reaches a process that started anew at an address whose earlier process fell silent", async () => {
    // The earlier process takes connections and never reads or answers, as one without power does.
    const silent: Socket[] = [];
    const dead = createServer((socket) => {
      socket.pause();
      silent.push(socket);
    });
    await new Promise<void>((resolve) => dead.listen(0, "127.0.0.1", resolve));
    const bound = dead.address();
    const address = `127.0.0.1:${typeof bound === "object" && bound ? bound.port : 0}`;
    const one = await listen("one#1");
    const introduced = next(one);
    one.send(address, { text: "into the void" });
    await new Promise((resolve) => setTimeout(resolve, 50));
    await new Promise<void>((resolve) => {
      dead.close(() => resolve());
      for (const socket of silent) socket.destroy();
    });
    const two = await listen("two#2", address);
    two.send(one.self.address, { text: "here again" });
    expect(await introduced).toEqual("here again");
    const answer = next(two);
    one.send(address, { text: "welcome" });
    expect(await answer).toEqual("welcome");
  });

  it("uses the connection of the newer process when one to the earlier still stands", async () => {
    const one = await listen("one#1");
    const earlier = await listen("two#1");
    const address = earlier.self.address;
    const first = next(one);
    earlier.send(one.self.address, { text: "first" });
    expect(await first).toEqual("first");
    // The earlier process goes without a word: its connection to the first one stays open.
    const restarted = await TcpTransport.listen<Note>({ instance: "two#2", address: "127.0.0.1:0" });
    open.push(restarted);
    Object.defineProperty(restarted.self, "address", { value: address });
    const second = next(one);
    restarted.send(one.self.address, { text: "second" });
    expect(await second).toEqual("second");
    const answer = next(restarted);
    one.send(address, { text: "to the newer" });
    expect(await answer).toEqual("to the newer");
  });
});
