/** Compatibility of a gateway with peers of older and newer builds. */
import { describe, it } from "node:test";
import { expect } from "earl";
import type { MemberDigest, MemberStatus } from "../../src/gateway/gateway-messages.ts";
import { MemberView } from "../../src/gateway/members/member-view.ts";
import { supportsFeature } from "../../src/gateway/members/protocol-feature.ts";
import type { RpcRequest, RpcResponse } from "../../src/messages/rpc-messages.ts";
import { SystemClock } from "../../src/runtime/clock.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { RpcEndpoint } from "../../src/runtime/rpc.ts";
import { TcpTransport } from "../../src/runtime/tcp-transport.ts";
import { gatewayContext } from "./support/gateway-parts.ts";

const PEER = "10.0.0.1:1";
const RELAY = "10.0.0.2:1";

function statusOf(revision: number, protocol?: number): MemberStatus {
  return {
    revision,
    name: "peer",
    zone: "zone-b",
    callerAddress: PEER,
    state: "ready",
    storeReachable: true,
    storeDirect: true,
    owned: [],
    ...(protocol === undefined ? {} : { protocol }),
  };
}

function digestOf(status: MemberStatus): MemberDigest {
  const changed = [{ address: PEER, instance: "peer#1", status }];
  return { type: "memberDigest", sequence: 1, changed, lost: [], whole: true, loads: [] };
}

interface NewerSchema {
  known: { request: string; response: string };
  newer: { request: string; response: string };
}
type NewerMessage = RpcRequest<NewerSchema> | RpcResponse<NewerSchema> | { readonly type: "newerMessage" };

describe("protocol features", () => {
  it("are supported from the version that introduced them, and not by a gateway that reports no version", () => {
    const known = [statusOf(1), statusOf(1, 0), statusOf(1, 1), statusOf(1, 9)];
    expect(known.map((status) => supportsFeature(status, "places"))).toEqual([false, false, true, true]);
  });

  it("stay supported when a relay of an older build drops the version, whichever message arrives first", async () => {
    const context = await gatewayContext("gateway", "127.0.0.1:1");
    const messages: readonly (readonly [MemberStatus, number])[] = [
      [statusOf(1), 1],
      [statusOf(1, 1), 1],
      [statusOf(2), 2],
      [statusOf(1), 2],
    ];
    const view = new MemberView(context, { onChanged: () => undefined, onLost: () => undefined });
    for (const [index, [status, revision]] of messages.entries()) {
      view.applyDigest(RELAY, digestOf(status));
      const seen = view.memberAt(PEER)?.status;
      expect([seen?.revision, seen?.protocol]).toEqual([revision, index === 0 ? undefined : 1]);
    }
    view.applyDigest(RELAY, {
      ...digestOf(statusOf(1)),
      changed: [{ address: PEER, instance: "peer#2", status: statusOf(1) }],
    });
    expect(view.memberAt(PEER)?.status.protocol).toEqual(undefined);
  });
});

describe("a connection between builds", () => {
  it("stays open after requests and messages of types that the receiver does not know", async () => {
    const listen = (instance: string) =>
      TcpTransport.listen<NewerMessage>({ instance, address: "127.0.0.1:0" });
    const [older, newer] = [await listen("older#1"), await listen("newer#1")];
    const clock = new SystemClock();
    const endpoints = [older, newer].map((transport, index) => {
      const rpc = new RpcEndpoint<NewerSchema>(transport, clock, new SeededRandomSource(index));
      transport.onMessage((message, from) => {
        if (message.type === "rpcRequest") void rpc.onRequest(message, from);
        if (message.type === "rpcResponse") rpc.onResponse(message);
      });
      return rpc;
    });
    const [answering, asking] = endpoints as [RpcEndpoint<NewerSchema>, RpcEndpoint<NewerSchema>];
    answering.handle("known", async (text) => `${text} is known`);
    let ended = 0;
    newer.onDisconnected(() => {
      ended += 1;
    });
    const { address } = older.self;
    newer.send(address, { type: "newerMessage" });
    expect((await asking.ask(address, "newer", "x", 2_000)).type).toEqual("problem");
    expect(await asking.ask(address, "known", "x", 2_000)).toEqual({ type: "done", body: "x is known" });
    expect(ended).toEqual(0);
    await Promise.all([older.close(), newer.close()]);
  });
});
