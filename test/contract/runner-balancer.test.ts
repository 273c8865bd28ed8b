/** Tests which runner a gateway chooses, given the load, health and pace of each. */
import { describe, it } from "node:test";
import { expect } from "earl";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../src/scheduling/ids/runner-name.ts";
import type { SoftwareVersion } from "../../src/scheduling/ids/software-version.ts";
import type { CallTiming } from "../../src/scheduling/runner-balancing/call-timing.ts";
import { RunnerBalancer } from "../../src/scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerEntry } from "../../src/scheduling/runner-balancing/runner-entry.ts";

const A = "a" as RunnerId;
const B = "b" as RunnerId;
const C = "c" as RunnerId;
const ALL = [A, B, C];

describe("runner balancer", () => {
  const entry = (id: RunnerId, more: Partial<RunnerEntry> = {}): RunnerEntry => ({
    id,
    name: id as string as RunnerName,
    startedAtMs: undefined,
    pool: "p",
    address: "127.0.0.1:1",
    zone: "z",
    version: "v1" as SoftwareVersion,
    slots: 4,
    state: "ready",
    ...more,
  });
  const criteria = {
    pool: "p",
    zone: "z",
    excluded: new Set<RunnerId>(),
    preferred: undefined,
    nowMs: 0,
    sample: 0,
  };

  const PATIENCE_MS = 400;

  it("chooses the runner with the fewest requests in flight from all gateways", () => {
    const balancer = new RunnerBalancer();
    for (const id of [A, B]) balancer.upsert(entry(id));
    balancer.recordReport("other node", { inFlight: [[A, 2]], failing: [] }, 0);
    balancer.recordStart(B, 0, PATIENCE_MS);
    expect(balancer.choose(criteria)?.id).toEqual(B);
    balancer.dropReport("other node");
    expect(balancer.choose(criteria)?.id).toEqual(A);
  });

  it("chooses the runner that has the prompt cached while it is not overloaded", () => {
    const balancer = new RunnerBalancer();
    for (const id of [A, B]) balancer.upsert(entry(id));
    balancer.recordStart(A, 0, PATIENCE_MS);
    expect(balancer.choose({ ...criteria, preferred: A })?.id).toEqual(A);
    for (let count = 0; count < 6; count += 1) balancer.recordStart(A, 0, PATIENCE_MS);
    expect(balancer.choose({ ...criteria, preferred: A })?.id).toEqual(B);
  });

  it("chooses the runner that has the prompt cached when it is full and others are free", () => {
    const balancer = new RunnerBalancer();
    for (const id of [A, B]) balancer.upsert(entry(id));
    for (let count = 0; count < 4; count += 1) balancer.recordStart(A, 0, PATIENCE_MS);
    expect(balancer.choose({ ...criteria, preferred: A })?.id).toEqual(A);
    expect(balancer.choose(criteria)?.id).toEqual(B);
  });

  it("does not choose runners that are draining, leaving, or excluded", () => {
    const balancer = new RunnerBalancer();
    balancer.upsert(entry(A, { state: "draining" }));
    expect(balancer.choose(criteria)).toEqual(undefined);
    balancer.upsert(entry(B));
    expect(balancer.choose({ ...criteria, excluded: new Set([B]) })).toEqual(undefined);
    balancer.markLeaving(B);
    expect(balancer.choose(criteria)).toEqual(undefined);
    balancer.remove(B);
    expect(balancer.ready(B)).toEqual(undefined);
  });

  const EVIDENCE: [name: string, addEvidence: (balancer: RunnerBalancer) => void][] = [
    [
      "fails a request",
      (balancer) => balancer.recordEnd(balancer.recordStart(A, 0, PATIENCE_MS), "failure", 10),
    ],
    ["does not answer in time", (balancer) => void balancer.recordStart(A, -2 * PATIENCE_MS, PATIENCE_MS)],
    [
      "had not answered in time when the caller left",
      (balancer) => recordAbandoned(balancer, -2 * PATIENCE_MS),
    ],
    [
      "fails requests of other gateways",
      (balancer) => balancer.recordReport("n", { inFlight: [], failing: [[A, 1, 2]] }, 0),
    ],
    ["is much slower than the others", (balancer) => recordPaces(balancer)],
  ];
  function recordAbandoned(balancer: RunnerBalancer, startedMs: number): void {
    balancer.recordEnd(balancer.recordStart(A, startedMs, PATIENCE_MS), "abandoned", 10);
  }
  function recordPaces(balancer: RunnerBalancer): void {
    for (const [id, stepMs] of [
      [A, 200],
      [B, 25],
      [C, 25],
    ] as const)
      balancer.recordTiming(id, timing(stepMs), 10);
  }
  function timing(workMs: number): CallTiming {
    const unknown = { promptTokens: undefined, wasCached: false };
    return { work: "w", steps: 1, workMs, firstChunkMs: workMs, load: 0, ...unknown };
  }
  for (const [name, addEvidence] of EVIDENCE) {
    it(`does not choose a runner that ${name}`, () => {
      const balancer = new RunnerBalancer();
      for (const id of ALL) balancer.upsert(entry(id, id === A ? {} : { zone: "far" }));
      expect(balancer.choose({ ...criteria, nowMs: 20 })?.id).toEqual(A);
      addEvidence(balancer);
      expect(balancer.choose({ ...criteria, nowMs: 20 })?.id).toEqual(B);
    });
  }

  it("distinguishes a failing runner from a pool in which all runners fail", () => {
    const balancer = new RunnerBalancer();
    const ids = ALL;
    for (const id of ids) balancer.upsert(entry(id));
    for (let count = 0; count < 3; count += 1) balancer.recordStart(A, 0, PATIENCE_MS);
    expect(balancer.isOutlier(A, PATIENCE_MS)).toEqual(false);
    expect(ids.map((id) => balancer.isOutlier(id, 2 * PATIENCE_MS))).toEqual([true, false, false]);
    for (const id of [B, C]) {
      for (let count = 0; count < 3; count += 1) balancer.recordStart(id, 0, PATIENCE_MS);
    }
    expect(ids.map((id) => balancer.isOutlier(id, 2 * PATIENCE_MS))).toEqual([false, false, false]);
  });

  it("chooses a runner again long after it failed, and one whose caller left early", () => {
    const balancer = new RunnerBalancer();
    for (const id of [A, B]) balancer.upsert(entry(id, id === A ? {} : { zone: "far" }));
    balancer.recordEnd(balancer.recordStart(A, 0, PATIENCE_MS), "failure", 10);
    expect(balancer.choose({ ...criteria, nowMs: 20_000 })?.id).toEqual(A);
    recordAbandoned(balancer, 20_000);
    expect(balancer.choose({ ...criteria, nowMs: 20_020 })?.id).toEqual(A);
    expect(balancer.ownReport(20_020)).toEqual({ inFlight: [], failing: [] });
  });

  it("avoids a runner that refused a connection, unless there is no other", () => {
    const balancer = new RunnerBalancer();
    for (const id of [A, B]) balancer.upsert(entry(id));
    balancer.avoid(A, 0);
    for (let count = 0; count < 4; count += 1) balancer.recordStart(B, 0, PATIENCE_MS);
    expect(balancer.choose({ ...criteria, nowMs: 10 })?.id).toEqual(B);
    expect(balancer.choose({ ...criteria, excluded: new Set([B]) })?.id).toEqual(A);
  });
});
