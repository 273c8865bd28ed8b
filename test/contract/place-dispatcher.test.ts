/** Which call gets the next place, which calls are refused, and how leases end that are never released. */
import { beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import type { ProgramId } from "../../src/scheduling/ids/program-id.ts";
import type { RequestId } from "../../src/scheduling/ids/request-id.ts";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import type { TenantName } from "../../src/scheduling/ids/tenant-name.ts";
import {
  type PlaceCall,
  type PlaceDecision,
  PlaceDispatcher,
} from "../../src/scheduling/place-queue/index.ts";
import { FakeRunnerGroup } from "./support/place-load.ts";

const GATEWAY = "gateway#1";
const HELD_FOR_200_MS = { heldMs: 200, turnedAway: false };

describe("place dispatcher", () => {
  let group: FakeRunnerGroup;
  let dispatcher: PlaceDispatcher;
  let requestCount: number;

  beforeEach(() => createDispatcher(1, 2));

  function createDispatcher(runners: number, slots: number): void {
    requestCount = 0;
    group = new FakeRunnerGroup(runners, slots);
    dispatcher = new PlaceDispatcher({ group, weightOf: () => 1, firstLease: 1, maxReportAgeMs: 1_000 });
  }

  function requestPlace(nowMs: number, overrides: Partial<PlaceCall> = {}, holder = GATEWAY): PlaceDecision {
    requestCount += 1;
    const call: PlaceCall = {
      request: `q${requestCount}` as RequestId,
      route: "turn",
      tenant: "t" as TenantName,
      program: `p${requestCount}` as ProgramId,
      rank: 0,
      hasBegun: true,
      dueInMs: 3_000,
      patienceMs: 2_000,
      tokens: 0,
      preferred: undefined,
      excluded: [],
      ...overrides,
    };
    return dispatcher.requestPlace(call, holder, nowMs);
  }

  const leaseOf = (decision: PlaceDecision) => (decision.type === "refused" ? 0 : decision.lease);
  const fill = (count: number) => Array.from({ length: count }, () => leaseOf(requestPlace(0)));
  const settledLeases = (nowMs: number) => dispatcher.settle(nowMs).map(({ lease }) => lease);

  /** The order in which waiting calls get a place, as indexes of `calls`. */
  function grantOrder(nowMs: number, calls: readonly Partial<PlaceCall>[]): number[] {
    const held = fill(2);
    const leases = calls.map((call) => leaseOf(requestPlace(1, call)));
    const order: number[] = [];
    for (let next = held.pop(); next !== undefined && order.length < calls.length; next = order.at(-1)) {
      dispatcher.release(
        { lease: order.length === 0 ? next : (leases[next] as number), ...HELD_FOR_200_MS },
        nowMs,
      );
      order.push(...settledLeases(nowMs).map((lease) => leases.indexOf(lease)));
    }
    return order;
  }

  it("grants as many places as the runners have, and then one for each place that is released", () => {
    const [first] = fill(2);
    const queued = requestPlace(0);
    expect(queued).toLooseEqual({ type: "queued", lease: 3, expectedMs: 100 });
    expect(settledLeases(50)).toEqual([]);
    dispatcher.release({ lease: first as number, ...HELD_FOR_200_MS }, 100);
    expect(dispatcher.settle(100)).toEqual([
      {
        holder: GATEWAY,
        lease: 3,
        decision: {
          type: "granted",
          runner: "r0" as RunnerId,
          lease: 3,
          leaseMs: 4_000,
          waitedMs: 100,
          behind: "t" as TenantName,
        },
      },
    ]);
  });

  it("prefers important calls, and after a while calls that have waited", () => {
    expect(grantOrder(2, [{ rank: 2 }, { rank: 0 }, { rank: 1 }])).toEqual([1, 2, 0]);
    createDispatcher(1, 2);
    fill(2);
    const low = leaseOf(requestPlace(0, { rank: 2 }));
    const high = leaseOf(requestPlace(100, { rank: 0 }));
    dispatcher.release({ lease: 1, ...HELD_FOR_200_MS }, 101);
    expect(settledLeases(101)).toEqual([low]);
    dispatcher.release({ lease: 2, ...HELD_FOR_200_MS }, 102);
    expect(settledLeases(102)).toEqual([high]);
  });

  it("prefers among a tenant's calls those of begun programs, then those in time, then the least slack", () => {
    const calls = [
      { hasBegun: false, dueInMs: 20_000 },
      { dueInMs: 2_000 },
      { dueInMs: 100 },
      { dueInMs: 1_000 },
    ];
    expect(grantOrder(2, calls)).toEqual([3, 1, 2, 0]);
  });

  it("alternates between tenants, by the time for which they have held places", () => {
    const tenant = "small" as TenantName;
    expect(grantOrder(2, [{}, {}, {}, { tenant }])[0]).toEqual(3);
  });

  it("refuses at once calls that cannot get a place in time, each with a longer retry delay", () => {
    fill(2);
    for (let count = 0; count < 10; count += 1) requestPlace(0);
    const refusals = [
      requestPlace(0, { patienceMs: 500 }),
      requestPlace(0, { patienceMs: 500 }),
      requestPlace(0, { patienceMs: 500 }),
    ];
    const retryDelaysMs = refusals.map((refusal) => (refusal.type === "refused" ? refusal.retryAfterMs : 0));
    expect(retryDelaysMs).toEqual([800, 900, 1_000]);
  });

  // Guards against status 503 for calls that run for longer than they may wait, although they have time for both.
  it("queues calls of a slow route as long as they can finish in time", () => {
    group.averageMs = 2_000;
    fill(2);
    const call = { program: undefined, patienceMs: 1_500 };
    expect(requestPlace(0, { ...call, leftMs: 5_000 })).toLooseEqual({
      type: "queued",
      lease: 3,
      expectedMs: 1_000,
    });
    expect(requestPlace(0, { ...call, leftMs: 2_900 })).toLooseEqual({
      type: "refused",
      reason: "wait-too-long",
      retryAfterMs: 1_100,
      forecast: { expectedMs: 2_000, holdingMs: 2_000 },
    });
  });

  // Guards against a useless wait until the caller times out.
  it("refuses a waiting call as soon as it can no longer finish in time", () => {
    fill(2);
    requestPlace(0, { patienceMs: 900, leftMs: 900 });
    expect(dispatcher.settle(690)).toEqual([]);
    expect(dispatcher.settle(700)[0]?.decision.type).toEqual("refused");
  });

  // Guards against giving runners twice as many calls as they have slots, after one short call has ended among long ones.
  it("does not conclude from a single short call that earlier calls have ended", () => {
    const [runner] = group.entries.map(({ id }) => id) as [RunnerId];
    group.averageCallMs = (minCalls?: number) => ((minCalls ?? 1) > 1 ? undefined : 5);
    group.loadByRunner.set(runner, 2);
    group.undispatchedByRunner.set(runner, 2);
    const queuedLease = leaseOf(requestPlace(0));
    expect(settledLeases(300)).toEqual([]);
    group.undispatchedByRunner.set(runner, 1);
    expect(settledLeases(310)).toEqual([queuedLease]);
  });

  it("lets programs begin only while the expected wait is short", () => {
    fill(2);
    expect(requestPlace(0, { hasBegun: false, dueInMs: 6_000 }).type).toEqual("queued");
    expect(requestPlace(0, { hasBegun: false, dueInMs: 2_000 })).toLooseEqual({
      type: "refused",
      reason: "program-too-late",
      retryAfterMs: 50,
      forecast: { expectedMs: 100, holdingMs: 200 },
    });
    expect(requestPlace(0, { hasBegun: false, program: undefined, dueInMs: 2_000 }).type).toEqual("queued");
  });

  it("expects longer waits once calls hold their places for longer, before any of them ends", () => {
    fill(2);
    expect(requestPlace(0)).toLooseEqual({ type: "queued", lease: 3, expectedMs: 100 });
    expect(requestPlace(1_000)).toLooseEqual({ type: "queued", lease: 4, expectedMs: 1_000 });
  });

  it("refuses calls that have waited for as long as they may", () => {
    fill(2);
    requestPlace(0, { patienceMs: 400 });
    expect(dispatcher.settle(399)).toEqual([]);
    expect(dispatcher.settle(400).map(({ decision }) => decision.type)).toEqual(["refused"]);
    expect(dispatcher.waiting).toEqual(0);
  });

  it("keeps within a runner's memory, and skips a large call for a limited time only", () => {
    group.memoryTokens = 100;
    requestPlace(0, { tokens: 60 });
    const large = leaseOf(requestPlace(0, { tokens: 50 }));
    expect(requestPlace(10, { tokens: 40 }).type).toEqual("queued");
    expect(settledLeases(10)).toEqual([3]);
    dispatcher.release({ lease: 3, ...HELD_FOR_200_MS }, 200);
    requestPlace(200, { tokens: 10 });
    expect(settledLeases(200)).toEqual([]);
    dispatcher.release({ lease: 1, ...HELD_FOR_200_MS }, 201);
    expect(settledLeases(201)).toEqual([large, 4]);
  });

  it("fills runners evenly, and prefers the runner that has cached the prompt", () => {
    createDispatcher(3, 2);
    const runners = [
      requestPlace(0),
      requestPlace(0),
      requestPlace(0),
      requestPlace(0, { preferred: "r2" as RunnerId }),
    ].map((decision) => (decision.type === "granted" ? decision.runner : decision.type));
    expect(runners.slice(0, 2)).toEqual(["r0" as RunnerId, "r0" as RunnerId]);
    expect(runners.slice(2)).toEqual(["r1" as RunnerId, "r2" as RunnerId]);
  });

  it("backs off from a runner that rejected a call, for longer each time, and grants the call another runner", () => {
    createDispatcher(2, 1);
    const first = leaseOf(requestPlace(0));
    dispatcher.release({ lease: first, heldMs: 2, turnedAway: true }, 0);
    const request = "q1" as RequestId;
    expect(requestPlace(1, { request, excluded: ["r0" as RunnerId] })).toLooseEqual({
      type: "granted",
      runner: "r1" as RunnerId,
      lease: 2,
      leaseMs: 4_000,
      waitedMs: 0,
    });
    const queuedLease = leaseOf(requestPlace(1));
    expect(settledLeases(49)).toEqual([]);
    expect(settledLeases(50)).toEqual([queuedLease]);
    dispatcher.release({ lease: queuedLease, heldMs: 2, turnedAway: true }, 60);
    requestPlace(60);
    expect(settledLeases(159)).toEqual([]);
    expect(settledLeases(160)).toEqual([4]);
  });

  it("refuses a call that has tried every runner", () => {
    expect(requestPlace(0, { excluded: ["r0" as RunnerId] })).toLooseEqual({
      type: "refused",
      reason: "no-runner",
      retryAfterMs: 250,
    });
  });

  describe("after lost messages, gateways or runners", () => {
    it("repeats its answer to a repeated request", () => {
      const granted = requestPlace(0);
      requestPlace(0);
      const queued = requestPlace(0);
      expect(requestPlace(5, { request: "q1" as RequestId })).toLooseEqual({ ...granted, leaseMs: 3_995 });
      expect(leaseOf(requestPlace(5, { request: "q3" as RequestId }))).toEqual(leaseOf(queued));
      expect([dispatcher.leased, dispatcher.waiting]).toEqual([2, 1]);
    });

    it("treats the same identifier from another gateway as another call", () => {
      createDispatcher(1, 3);
      const first = leaseOf(requestPlace(0));
      const other = leaseOf(requestPlace(1, { request: "q1" as RequestId }, "other"));
      expect(first === other).toEqual(false);
      dispatcher.release({ lease: other, ...HELD_FOR_200_MS }, 2);
      expect(dispatcher.leased).toEqual(1);
    });

    it("ends leases that are never released, and ignores the release of an unknown lease", () => {
      fill(2);
      requestPlace(0, { patienceMs: 10_000 });
      dispatcher.release({ lease: 77, ...HELD_FOR_200_MS }, 1);
      dispatcher.expireLeases(3_999);
      expect(settledLeases(3_999)).toEqual([]);
      dispatcher.expireLeases(4_000);
      expect(settledLeases(4_000)).toEqual([3]);
    });

    it("frees the places of a gateway that is gone, and removes its waiting calls", () => {
      requestPlace(0, {}, "dead");
      requestPlace(0);
      requestPlace(0, {}, "dead");
      const queuedLease = leaseOf(requestPlace(0));
      dispatcher.dropHolder("dead");
      expect(settledLeases(1)).toEqual([queuedLease]);
      expect([dispatcher.leased, dispatcher.waiting]).toEqual([2, 0]);
    });

    it("removes a request that is withdrawn since its answer came too late", () => {
      fill(2);
      requestPlace(0);
      dispatcher.withdraw("q1" as RequestId, 1);
      dispatcher.withdraw("q3" as RequestId, 1);
      expect([dispatcher.leased, dispatcher.waiting]).toEqual([1, 0]);
    });

    it("counts all requests that heartbeats report when it starts, until newer heartbeats arrive", () => {
      group.loadByRunner.set("r0" as RunnerId, 2);
      expect(requestPlace(0).type).toEqual("queued");
      expect(settledLeases(999)).toEqual([]);
      expect(settledLeases(1_000)).toEqual([1]);
    });

    it("assumes that requests from before its start end after the average call time", () => {
      group.loadByRunner.set("r0" as RunnerId, 2);
      group.averageMs = 200;
      expect(requestPlace(0).type).toEqual("queued");
      expect(settledLeases(99)).toEqual([]);
      expect(settledLeases(100)).toEqual([1]);
      // While no requests arrived, others have placed calls again.
      dispatcher.release({ lease: 1, ...HELD_FOR_200_MS }, 200);
      expect(requestPlace(1_300).type).toEqual("queued");
    });

    it("counts requests that no dispatcher placed", () => {
      requestPlace(0);
      group.undispatchedByRunner.set("r0" as RunnerId, 1);
      expect(requestPlace(1_000).type).toEqual("queued");
    });

    it("grants no places of a runner that is gone", () => {
      createDispatcher(2, 1);
      fill(2);
      const queuedLease = leaseOf(requestPlace(0));
      group.entries.pop();
      dispatcher.release({ lease: 2, ...HELD_FOR_200_MS }, 1);
      expect(settledLeases(1)).toEqual([]);
      dispatcher.release({ lease: 1, ...HELD_FOR_200_MS }, 2);
      expect(settledLeases(2)).toEqual([queuedLease]);
    });
  });
});
