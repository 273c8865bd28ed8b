/** Tests when places are scarce, how runners are divided into groups, which dispatcher a call asks, and tenants' weights. */
import { beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import type { GatewayContext } from "../../src/gateway/gateway-context.ts";
import { DispatcherDirectory } from "../../src/gateway/places/dispatcher-directory.ts";
import { GroupSelector } from "../../src/gateway/places/group-selector.ts";
import { PoolScarcity } from "../../src/gateway/places/pool-scarcity.ts";
import { RunnerGroups } from "../../src/gateway/places/runner-groups.ts";
import { TenantWeights } from "../../src/gateway/places/tenant-weights.ts";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import type { TenantName } from "../../src/scheduling/ids/tenant-name.ts";
import type { PlaceCall } from "../../src/scheduling/place-queue/index.ts";
import { RouteTable } from "../../src/scheduling/routing/route-table.ts";
import { RunnerBalancer } from "../../src/scheduling/runner-balancing/runner-balancer.ts";
import { gatewayContext } from "./support/gateway-parts.ts";
import { runnerEntry } from "./support/runner-entry.ts";

const SLOTS = 4;

describe("components that share out places", () => {
  let nowMs: number;
  let context: GatewayContext;
  let board: RunnerBalancer;
  let groups: RunnerGroups;

  beforeEach(async () => {
    nowMs = 0;
    const given = await gatewayContext("gateway", "127.0.0.1:1");
    const clock = Object.assign(Object.create(given.clock), { monotonicMs: () => nowMs });
    context = { ...given, clock, settings: given.settings };
    board = new RunnerBalancer();
    groups = new RunnerGroups(context, board);
  });

  function addRunner(index: number): RunnerId {
    const id = `r${index}` as RunnerId;
    board.upsert(runnerEntry(id, { slots: SLOTS }));
    return id;
  }

  const addRunners = (count: number) => Array.from({ length: count }, (_, index) => addRunner(index));
  const reportInFlight = (id: RunnerId, count: number) =>
    board.recordReport("other", { inFlight: [[id, count]], failing: [] }, nowMs);

  describe("scarcity", () => {
    const engine = { slots: SLOTS, cacheTokens: 1_000, tokensPerEvent: 1 };

    function scarcity(gateways: number, dispatchBelow = 4): (atMs: number) => boolean {
      const settings = { ...context.settings, places: { dispatchBelow, scarceFrom: 0.7 } };
      const pools = new PoolScarcity({ ...context, settings }, board, groups, () => gateways);
      return (atMs) => {
        nowMs = atMs;
        return pools.isScarce({ name: "p", engine });
      };
    }

    it("begins when most places are taken, and ends when half of them are free", () => {
      const [id] = addRunners(5) as [RunnerId];
      const isScarce = scarcity(6);
      reportInFlight(id, 13);
      expect(isScarce(0)).toEqual(false);
      reportInFlight(id, 14);
      expect(isScarce(100)).toEqual(true);
      reportInFlight(id, 10);
      expect(isScarce(200)).toEqual(true);
      reportInFlight(id, 9);
      expect(isScarce(3_000)).toEqual(true);
      expect(isScarce(3_100)).toEqual(false);
      reportInFlight(id, 13);
      expect(isScarce(3_200)).toEqual(false);
    });

    it("does not occur when gateways have enough places, or when operators have turned dispatchers off", () => {
      const [id] = addRunners(5) as [RunnerId];
      reportInFlight(id, 20);
      expect(scarcity(5)(0)).toEqual(false);
      expect(scarcity(1_000, 0)(0)).toEqual(false);
    });

    it("requires a quarter of the places for each gateway where calls are short", () => {
      const [id] = addRunners(5) as [RunnerId];
      reportInFlight(id, 20);
      const pools = (gateways: number) =>
        new PoolScarcity(
          { ...context, settings: { ...context.settings, places: { dispatchBelow: 4, scarceFrom: 0.7 } } },
          board,
          groups,
          () => gateways,
        ).isScarce({ name: "p", engine: undefined });
      expect([pools(6), pools(20), pools(21)]).toEqual([false, false, true]);
      expect(scarcity(6)(0)).toEqual(true);
    });
  });

  describe("groups", () => {
    it("have about eight runners each, and every ready runner is in one", () => {
      addRunners(24);
      board.upsert(runnerEntry("d", { state: "draining" }));
      const poolGroups = groups.of("p");
      expect(poolGroups.length).toEqual(3);
      expect(poolGroups.reduce((sum, { places }) => sum + places, 0)).toEqual(24 * SLOTS);
      for (const { index, runners } of poolGroups)
        expect(runners.every(({ id }) => groups.groupOf("p", id) === index)).toEqual(true);
    });

    it("keep their runners when one is added, except for those that move to a new group", () => {
      const ids = addRunners(27);
      const before = ids.map((id) => groups.groupOf("p", id));
      addRunner(27);
      nowMs = 1_000;
      const moved = ids.filter((id, index) => groups.groupOf("p", id) !== before[index]);
      expect(groups.of("p").length).toEqual(4);
      expect(moved.every((id) => groups.groupOf("p", id) === 3)).toEqual(true);
      expect(moved.length).toBeLessThan(14);
    });

    it("have similar sizes when there are many", () => {
      addRunners(800);
      const sizes = groups.of("p").map(({ runners }) => runners.length);
      expect(sizes.length).toEqual(100);
      expect(Math.max(...sizes)).toBeLessThan(24);
      expect(sizes.filter((size) => size < 2).length).toBeLessThan(5);
    });

    it("are chosen by where the prompt is, unless others are known to be faster", () => {
      const ids = addRunners(24);
      const selector = new GroupSelector(groups, context.random);
      const [preferred] = ids as [RunnerId];
      const preferredGroup = groups.groupOf("p", preferred) as number;
      const call = { preferred, excluded: [] } as unknown as PlaceCall;
      expect(selector.choose("p", call, 0)).toEqual(preferredGroup);
      selector.note("p", preferredGroup, 200, 0);
      expect(selector.choose("p", call, 0)).not.toEqual(preferredGroup);
      expect(selector.chooseOther("p", call, 0, 0)).not.toEqual(0);
      const excluded = ids.filter((id) => groups.groupOf("p", id) === preferredGroup);
      expect(selector.choose("p", { ...call, excluded }, 1_000)).not.toEqual(preferredGroup);
    });
  });

  it("agree on one dispatcher for each group, and on another one once it is gone", () => {
    const candidates = ["a", "b", "c"].map((name) => {
      return { name, hash: context.hash.hash32(name), instance: `${name}#1`, address: name };
    });
    const members = { dispatcherCandidates: () => candidates };
    const directories = [0, 1].map(() => new DispatcherDirectory(context, members));
    const [first, second] = directories.map((directory) => directory.of("p", 0));
    expect(first).toEqual(second);
    candidates.splice(
      candidates.findIndex(({ name }) => name === first?.name),
      1,
    );
    directories[0]?.invalidate();
    expect(directories[0]?.of("p", 0)?.name).not.toEqual(first?.name);
    candidates.splice(0);
    directories[0]?.invalidate();
    expect(directories[0]?.of("p", 0)).toEqual(undefined);
  });

  it("weight tenants by their limits, and a tenant without a limit as an average one", () => {
    const tenant = (name: string, perSecond: number | undefined) => ({
      name: name as TenantName,
      keys: [],
      priority: 0,
      limit: perSecond === undefined ? undefined : { perSecond, burst: 0 },
    });
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const tenants = [tenant("large", 90), tenant("small", 10), tenant("free", undefined)];
    const table = new RouteTable({ version: 1, routes: [], pools: [], limits, tenants });
    const weights = new TenantWeights(() => table);
    expect(["large", "small", "free"].map((name) => weights.of(name as TenantName))).toEqual([1.8, 0.2, 1]);
    expect(weights.of(undefined)).toEqual(1);
  });
});
