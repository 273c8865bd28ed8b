/** The components of a gateway that need no network, store or clock. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { PeerLiveness } from "../../src/coordination/liveness/index.ts";
import { OwnershipMap, preferredOwner } from "../../src/coordination/partition-ownership/index.ts";
import { EventSplitter } from "../../src/gateway/calls/event-splitter.ts";
import type { TenantName } from "../../src/scheduling/ids/tenant-name.ts";
import { poolSelectionKey } from "../../src/scheduling/routing/pool-selection-key.ts";
import { choosePool, RouteTable } from "../../src/scheduling/routing/route-table.ts";
import type { Route } from "../../src/scheduling/routing/routing-configuration.ts";

const CANDIDATES = ["a", "b", "c", "d"].map((name, index) => ({ name, hash: 0x9e3779b9 * (index + 1) }));

describe("preferred owner", () => {
  it("is the same in whatever order candidates are known", () => {
    for (let partition = 0; partition < 64; partition += 1) {
      const owner = preferredOwner(partition, CANDIDATES);
      expect(preferredOwner(partition, [...CANDIDATES].reverse())).toEqual(owner);
    }
  });

  it("moves only the partitions of a removed candidate", () => {
    const remaining = CANDIDATES.slice(1);
    for (let partition = 0; partition < 64; partition += 1) {
      const before = preferredOwner(partition, CANDIDATES);
      if (before !== "a") expect(preferredOwner(partition, remaining)).toEqual(before);
    }
  });

  it("spreads partitions evenly", () => {
    const counts = new Map<string, number>();
    for (let partition = 0; partition < 400; partition += 1) {
      const owner = preferredOwner(partition, CANDIDATES) ?? "";
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    for (const count of counts.values()) expect(count > 60 && count < 140).toEqual(true);
  });

  it("is undefined when there is no candidate", () => {
    expect(preferredOwner(1, [])).toEqual(undefined);
  });
});

describe("ownership map", () => {
  it("keeps the owner of the newest epoch, in whatever order owners are recorded", () => {
    const owners = new OwnershipMap();
    expect(owners.recordOwner(1, { instance: "new", epoch: 7 })).toEqual(true);
    expect(owners.recordOwner(1, { instance: "old", epoch: 5 })).toEqual(false);
    expect(owners.owner(1)?.instance).toEqual("new");
  });

  it("forgets an owner only if it is still the current one", () => {
    const owners = new OwnershipMap();
    owners.recordOwner(1, { instance: "a", epoch: 1 });
    owners.forget(1, "b");
    expect(owners.owner(1)?.instance).toEqual("a");
    owners.forgetInstance("a");
    expect(owners.owner(1)).toEqual(undefined);
  });

  it("drops the partitions that an owner no longer reports, and none of other owners", () => {
    const owners = new OwnershipMap();
    owners.recordAllOwned("a", [
      [1, 1],
      [2, 2],
    ]);
    owners.recordAllOwned("b", [
      [3, 3],
      [2, 4],
    ]);
    owners.recordAllOwned("a", [
      [1, 1],
      [2, 2],
    ]);
    expect([1, 2, 3].map((partition) => owners.owner(partition)?.instance)).toEqual(["a", "b", "b"]);
    owners.recordAllOwned("a", []);
    expect([1, 2, 3].map((partition) => owners.owner(partition)?.instance)).toEqual([undefined, "b", "b"]);
    owners.forgetInstance("b");
    expect([1, 2, 3].map((partition) => owners.owner(partition)?.instance)).toEqual([
      undefined,
      undefined,
      undefined,
    ]);
  });
});

describe("peer liveness", () => {
  const SUSPECT_MS = 1_000;

  it("suspects a silent peer and clears it with its next heartbeat", () => {
    const liveness = new PeerLiveness(SUSPECT_MS);
    expect(liveness.isAlive("a", 0)).toEqual(false);
    liveness.recordHeartbeat("a", 0);
    expect(liveness.isAlive("a", 999)).toEqual(true);
    expect(liveness.isAlive("a", 1_000)).toEqual(false);
    liveness.recordHeartbeat("a", 1_500);
    expect(liveness.isAlive("a", 1_600)).toEqual(true);
  });

  it("treats a refused connection as the end of the peer at once", () => {
    const liveness = new PeerLiveness(SUSPECT_MS);
    liveness.recordHeartbeat("a", 0);
    liveness.recordRefusedConnection("a");
    expect(liveness.isAlive("a", 1)).toEqual(false);
  });

  it("forgets a peer", () => {
    const liveness = new PeerLiveness(SUSPECT_MS);
    liveness.recordHeartbeat("a", 0);
    liveness.forget("a");
    expect(liveness.isAlive("a", 1)).toEqual(false);
  });

  it("suspects no peer because of silence while this node itself was paused", () => {
    const liveness = new PeerLiveness(SUSPECT_MS);
    liveness.recordHeartbeat("a", 0);
    liveness.recordHeartbeat("refused", 0);
    liveness.recordRefusedConnection("refused");
    liveness.recordOwnPause(5_000);
    expect(liveness.isAlive("a", 5_000 + SUSPECT_MS - 1)).toEqual(true);
    expect(liveness.isAlive("a", 5_000 + SUSPECT_MS)).toEqual(false);
    expect(liveness.isAlive("refused", 5_000)).toEqual(false);
  });
});

const ROUTE: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/a/",
  kind: "safe",
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  priority: 0,
  shares: [
    { pool: "x", weight: 90 },
    { pool: "y", weight: 10 },
  ],
  maxAttempts: 2,
  resumable: false,
  retainsTurns: false,
  retentionMs: 60_000,
  isPublic: false,
};

describe("route table", () => {
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const routes = [ROUTE, { ...ROUTE, name: "longer", pathPrefix: "/a/b/" }];
  const table = new RouteTable({ version: 1, routes, pools: [], limits, tenants: undefined });

  it("selects the longest matching prefix of the host", () => {
    expect(table.find("h", "/a/b/c")?.name).toEqual("longer");
    expect(table.find("h", "/a/c")?.name).toEqual("r");
  });

  it("ranks requests by the tenant first, then by the route", () => {
    const streams = [0, 1].map((priority) => ({ ...ROUTE, kind: "streaming" as const, priority }));
    const tenants = [4, 1, 4].map((priority, index) => {
      return { name: `t${index}` as TenantName, keys: [], priority, limit: undefined };
    });
    const ranked = new RouteTable({ version: 1, routes: streams, pools: [], limits, tenants });
    const ranks = tenants.flatMap((tenant) => streams.map((route) => ranked.rankOf(route, tenant)));
    expect(ranks).toEqual([2, 3, 0, 1, 2, 3]);
    expect(streams.map((route) => ranked.rankOf(route, undefined))).toEqual([0, 1]);
  });

  it("has no route for other hosts and paths", () => {
    expect(table.find("other", "/a/b")).toEqual(undefined);
    expect(table.find("h", "/a")).toEqual(undefined);
  });

  it("spreads requests by weight", () => {
    let first = 0;
    for (let sample = 0; sample < 1_000; sample += 1) {
      if (choosePool(ROUTE, sample / 1_000) === "x") first += 1;
    }
    expect(first).toEqual(900);
  });

  it("keeps the turns of a program in one pool, and spreads its other calls", () => {
    const calls = ["1", "2", "3"].map((requestId) => ({
      requestId,
      affinityKey: undefined,
      program: { id: "program" },
    }));
    expect(calls.map((call) => poolSelectionKey("streaming", call))).toEqual([
      "program",
      "program",
      "program",
    ]);
    expect(calls.map((call) => poolSelectionKey("unsafe", call))).toEqual(["1", "2", "3"]);
    expect(calls.map((call) => poolSelectionKey("safe", { ...call, affinityKey: "object" }))).toEqual(
      calls.map(() => "object"),
    );
  });
});

describe("event splitter", () => {
  const text = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\nda";

  it("returns the same events however the bytes are split", () => {
    for (let splitAt = 0; splitAt <= text.length; splitAt += 1) {
      const splitter = new EventSplitter();
      const first = splitter.push(Buffer.from(text.slice(0, splitAt)));
      const events = [...first, ...splitter.push(Buffer.from(text.slice(splitAt)))];
      expect(events.map((event) => [event.id, event.data])).toEqual([
        [1, "a"],
        [2, "b\nc"],
      ]);
      expect(events.map((event) => event.bytes.toString()).join("")).toEqual(text.slice(0, -8));
      expect(splitter.rest.toString()).toEqual("id: 3\nda");
    }
  });
});

describe("an owner's report of its partitions", () => {
  it("withdraws the partitions that it no longer lists, and only those", () => {
    const owners = new OwnershipMap();
    owners.recordAllOwned("a", [
      [1, 5],
      [2, 6],
    ]);
    owners.recordAllOwned("b", [[2, 9]]);
    owners.recordAllOwned("a", [[1, 5]]);
    expect(owners.owner(1)?.instance).toEqual("a");
    expect(owners.owner(2)?.instance).toEqual("b");
    owners.recordAllOwned("a", []);
    expect(owners.owner(1)).toEqual(undefined);
  });
});
