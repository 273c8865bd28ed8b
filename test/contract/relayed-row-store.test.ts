/** Store calls that a peer makes for a gateway without working connections of its own, against the store's stand-in. */
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { pino } from "pino";
import type { GatewayMessage, GatewayRpcSchema } from "../../src/gateway/gateway-messages.ts";
import { RelayedRowStore } from "../../src/gateway/store/relayed-row-store.ts";
import type { RowStore, RowTransaction } from "../../src/ports/store/row-store.ts";
import { delay, SystemClock } from "../../src/runtime/clock.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { RpcEndpoint } from "../../src/runtime/rpc.ts";
import { TcpTransport } from "../../src/runtime/tcp-transport.ts";
import { RowStoreStandin } from "../../standins/platform/row-store-standin.ts";
import { storeClient } from "./support/gateway-parts.ts";

const UNREACHABLE_ADDRESS = "127.0.0.1:1";
const VALUE = Buffer.from("value");
const KEY = { table: "t", part: "p", key: "k" };
const PUT: RowTransaction = { conditions: [], puts: [{ ...KEY, value: VALUE }], removes: [] };

interface Gateway {
  readonly store: RelayedRowStore;
  readonly transport: TcpTransport<GatewayMessage>;
}

let standin: RowStoreStandin;
let gateways: Gateway[];

/** Starts a gateway with the given connections to the store. */
async function startGateway(instance: string, direct: RowStore): Promise<Gateway> {
  const transport = await TcpTransport.listen<GatewayMessage>({ instance, address: "127.0.0.1:0" });
  const clock = new SystemClock();
  const random = new SeededRandomSource(1);
  const rpc = new RpcEndpoint<GatewayRpcSchema>(transport, clock, random);
  transport.onMessage((message, from) => {
    if (message.type === "rpcRequest") void rpc.onRequest(message, from);
    if (message.type === "rpcResponse") rpc.onResponse(message);
  });
  const store = new RelayedRowStore({ direct, clock, random, rpc, log: pino({ level: "silent" }) });
  const gateway = { store, transport };
  gateways.push(gateway);
  return gateway;
}

function relayOf({ transport: { self } }: Gateway) {
  return { instance: self.instance, address: self.address };
}

describe("store reached through peers", () => {
  let connected: Gateway;
  let disconnected: Gateway;

  beforeEach(async () => {
    gateways = [];
    standin = new RowStoreStandin();
    connected = await startGateway("connected#1", storeClient(await standin.listen()));
    disconnected = await startGateway("disconnected#1", storeClient(UNREACHABLE_ADDRESS));
    disconnected.store.relays = () => [relayOf(connected)];
  });
  afterEach(async () => {
    standin.close();
    await Promise.all(gateways.map(({ transport }) => transport.close()));
  });

  it("writes, reads and watches through a peer, with the store's own results", async () => {
    const written = await disconnected.store.transact(PUT);
    expect(written.type).toEqual("committed");
    const read = await disconnected.store.read({ table: "t", part: "p" });
    expect(read.type === "rows" && read.rows.map(({ key, value }) => [key, value])).toEqual([["k", VALUE]]);
    const watched = await disconnected.store.watch("t", 0, 100);
    expect(watched.type === "changes" && watched.changes.map(({ value }) => value)).toEqual([VALUE]);
  });

  it("returns the existing rows with a conflict", async () => {
    await disconnected.store.transact(PUT);
    const outcome = await disconnected.store.transact({ ...PUT, conditions: [{ ...KEY, version: 0 }] });
    expect(outcome.type === "conflict" && outcome.rows.map(({ value }) => value)).toEqual([VALUE]);
  });

  it("does not relay a peer's calls to another peer", async () => {
    connected.store.relays = () => [relayOf(disconnected)];
    standin.fault = "busy";
    for (let count = 0; count < 5; count += 1)
      expect((await disconnected.store.transact(PUT)).type).toEqual("refused");
  });

  it("sends few calls to a store that refuses all of them", async () => {
    standin.fault = "busy";
    let calls = 0;
    const untilMs = performance.now() + 1_000;
    const count = standin.counts;
    while (performance.now() < untilMs) {
      await connected.store.transact(PUT);
      calls += 1;
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(calls > 50).toEqual(true);
    expect(count.writes).toEqual(0);
    expect(standin.refused < 15).toEqual(true);
  });

  it("reports that its own connections work once the store has answered", async () => {
    expect(connected.store.isDirect).toEqual(false);
    await connected.store.transact(PUT);
    expect(connected.store.isDirect).toEqual(true);
    standin.fault = "busy";
    // Refusals soon after an answer are ignored: they may concern only some of the store's parts.
    await connected.store.transact(PUT);
    expect(connected.store.isDirect).toEqual(true);
    await delay(new SystemClock(), connected.store.answerTimeoutMs());
    for (let count = 0; count < 2; count += 1) await connected.store.transact(PUT);
    expect(connected.store.isDirect).toEqual(false);
  });

  it("watches without a wait after a failed call, and waits again after the next answer", async () => {
    const waits: number[] = [];
    const direct: RowStore = storeClient(UNREACHABLE_ADDRESS);
    direct.watch = async (_table, version, waitMs) => {
      waits.push(waitMs);
      return waits.length === 1 ? { type: "unknown", detail: "" } : { type: "changes", changes: [], version };
    };
    const { store } = await startGateway("alone#1", direct);
    for (let count = 0; count < 3; count += 1) await store.watch("t", 1, 1_000);
    expect(waits).toEqual([1_000, 0, 1_000]);
  });

  it("limits the wait through a peer, so that its own connections are tried again soon", async () => {
    const startedMs = performance.now();
    expect((await disconnected.store.watch("t", 0, 5_000)).type).toEqual("changes");
    expect(performance.now() - startedMs < 2_000).toEqual(true);
  });
});
