/** Compares response times with both cost models, by load and by expected time, when runners differ in speed. */
import { describe, it, type TestContext } from "node:test";
import { expect } from "earl";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { canFinishInTime } from "../../src/scheduling/admission/can-finish-in-time.ts";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import { CostByLoad } from "../../src/scheduling/runner-balancing/cost-by-load.ts";
import { CostByTime } from "../../src/scheduling/runner-balancing/cost-by-time.ts";
import type { LoadReport } from "../../src/scheduling/runner-balancing/load-report.ts";
import { RunnerBalancer } from "../../src/scheduling/runner-balancing/runner-balancer.ts";
import { runnerEntry } from "./support/runner-entry.ts";
import {
  type LoadScenario,
  type SimulatedCall,
  simulateLoad,
  type TurnTimes,
} from "./support/runner-load.ts";

const DURATION_MS = 20_000;
const SLOW_INTERVAL_MS = 500;
/** Where expected time brings no gain, it may be worse by this factor at most: the results vary by chance. */
const NO_WORSE_FACTOR = 1.05;

const newTurn = (random: SeededRandomSource): SimulatedCall => ({
  kind: "turn",
  steps: 3 + random.below(6),
  stepMs: 40,
});
const newPlainCall = (random: SeededRandomSource): SimulatedCall => {
  const meanMs = [26, 69, 104][random.below(3)] as number;
  return { kind: `${meanMs}`, steps: 1, stepMs: -Math.log(1 - random.unit()) * meanMs };
};

const UNEVEN: LoadScenario = {
  gateways: 24,
  runners: 30,
  programsPerS: 60,
  durationMs: DURATION_MS,
  newCall: newTurn,
  slowness: (runner, nowMs) => (runner % 3 === 2 ? 1.7 : 0.7) * slowIntervalFactor(runner, nowMs),
  deliveredReport: (_, report) => report,
  newCostModel: () => new CostByLoad(),
};

/** Slows a runner down in 15 of 100 intervals of half a second. */
function slowIntervalFactor(runner: number, nowMs: number): number {
  const random = new SeededRandomSource(1_000 * runner + Math.floor(nowMs / SLOW_INTERVAL_MS));
  random.unit();
  return random.unit() < 0.15 ? 2.5 : 1;
}

function simulateBoth(t: TestContext, load: LoadScenario): [byLoad: TurnTimes, byTime: TurnTimes] {
  const byLoad = simulateLoad(load);
  const byTime = simulateLoad({ ...load, newCostModel: () => new CostByTime() });
  t.diagnostic(`ms by load ${JSON.stringify(byLoad)}, by expected time ${JSON.stringify(byTime)}`);
  return [byLoad, byTime];
}

function expectBetter([byLoad, byTime]: [byLoad: TurnTimes, byTime: TurnTimes]): void {
  expect(byTime.mean < byLoad.mean && byTime.p95 < byLoad.p95).toEqual(true);
}

function expectNoWorse([byLoad, byTime]: [byLoad: TurnTimes, byTime: TurnTimes]): void {
  expect(byTime.mean <= NO_WORSE_FACTOR * byLoad.mean && byTime.p95 <= NO_WORSE_FACTOR * byLoad.p95).toEqual(
    true,
  );
}

describe("runners of different speed", () => {
  for (const programsPerS of [30, 90, 120]) {
    it(`answer turns sooner by expected time with ${programsPerS} programs per second`, (t) => {
      expectBetter(simulateBoth(t, { ...UNEVEN, programsPerS }));
    });
  }

  it("answer calls without streaming, of several kinds, sooner by expected time", (t) => {
    expectBetter(simulateBoth(t, { ...UNEVEN, newCall: newPlainCall, programsPerS: 250 }));
  });

  it("that differ only by short slowdowns answer calls without streaming sooner under heavy load", (t) => {
    expectBetter(
      simulateBoth(t, { ...UNEVEN, newCall: newPlainCall, programsPerS: 350, slowness: slowIntervalFactor }),
    );
  });

  it("are distinguished by the gateway's own calls if others report no paces", (t) => {
    const deliveredReport = (_: number, { inFlight, failing }: LoadReport) => ({ inFlight, failing });
    expectBetter(simulateBoth(t, { ...UNEVEN, deliveredReport }));
  });

  it("answer turns sooner although a fifth of the gateways report paces that include their own delays", (t) => {
    const slowed = (paces: LoadReport["paces"] = []) =>
      paces.map(([runner, paceMs]) => [runner, 4 * paceMs] as const);
    const deliveredReport = (gateway: number, report: LoadReport) =>
      gateway % 5 === 0 ? { ...report, paces: slowed(report.paces) } : report;
    expectBetter(simulateBoth(t, { ...UNEVEN, deliveredReport }));
  });

  it("that alternate between fast and slow are no slower by expected time", (t) => {
    const flaps = (runner: number, nowMs: number) => (runner < 5 && nowMs % 4_000 < 2_000 ? 6 : 1);
    expectNoWorse(simulateBoth(t, { ...UNEVEN, slowness: flaps }));
  });

  it("are no slower by expected time while all are alike", (t) => {
    expectNoWorse(simulateBoth(t, { ...UNEVEN, slowness: () => 1 }));
  });
});

describe("paces of runners", () => {
  const ALL = ["r0", "r1", "r2", "r3", "r4", "r5"] as RunnerId[];
  const SAMPLES = Array.from({ length: 100 }, (_, index) => (index + 0.5) / 100);

  function newBalancer(): RunnerBalancer {
    const balancer = new RunnerBalancer(new CostByTime());
    for (const id of ALL) balancer.upsert(runnerEntry(id, { slots: 8 }));
    return balancer;
  }

  /** Fraction of a hundred simultaneous calls that are sent to the first runner. */
  function firstRunnerShare(balancer: RunnerBalancer, nowMs: number): number {
    const criteria = { pool: "p", zone: "z", excluded: new Set<RunnerId>(), preferred: undefined, nowMs };
    const chosen = SAMPLES.map((sample) => balancer.choose({ ...criteria, sample })?.id);
    return chosen.filter((id) => id === ALL[0]).length / SAMPLES.length;
  }

  function reportPaces(
    balancer: RunnerBalancer,
    sources: readonly string[],
    firstMs: number,
    nowMs: number,
  ): void {
    for (const source of sources) {
      const paces = ALL.map((id) => [id, id === ALL[0] ? firstMs : 100] as const);
      balancer.recordReport(source, { inFlight: [], failing: [], paces }, nowMs);
    }
  }

  it("that a single gateway reports differently from the others are ignored", () => {
    const balancer = newBalancer();
    reportPaces(balancer, ["a", "b", "c"], 100, 0);
    reportPaces(balancer, ["d"], 1_000, 100);
    expect(firstRunnerShare(balancer, 300) > 0.1).toEqual(true);
  });

  it("of a slow runner outlast recent reports, and expire when it is not used", () => {
    const balancer = newBalancer();
    for (let nowMs = 0; nowMs < 5_000; nowMs += 500) reportPaces(balancer, ["a", "b", "c"], 300, nowMs);
    expect(firstRunnerShare(balancer, 4_900) < 0.02).toEqual(true);
    expect(firstRunnerShare(balancer, 9_000) < 0.04).toEqual(true);
    expect(firstRunnerShare(balancer, 50_000) > 0.1).toEqual(true);
  });

  it("of a runner that recovers attract calls again within seconds", () => {
    const balancer = newBalancer();
    for (let nowMs = 0; nowMs < 3_000; nowMs += 500) reportPaces(balancer, ["a", "b", "c"], 500, nowMs);
    expect(firstRunnerShare(balancer, 3_000) < 0.02).toEqual(true);
    for (let nowMs = 3_000; nowMs < 13_000; nowMs += 500) reportPaces(balancer, ["a", "b", "c"], 100, nowMs);
    expect(firstRunnerShare(balancer, 13_000) > 0.1).toEqual(true);
  });

  it("that are not known count as the median of the pool", () => {
    const balancer = newBalancer();
    const paces = ALL.slice(1).map((id) => [id, 100] as const);
    balancer.recordReport("a", { inFlight: [], failing: [], paces }, 0);
    const part = firstRunnerShare(balancer, 100);
    expect(part > 0.1 && part < 0.25).toEqual(true);
  });

  it("are reported for recently used runners", () => {
    const balancer = newBalancer();
    const timing = { work: "w", steps: 1, workMs: 52.4, firstChunkMs: 52.4, load: 0, wasCached: false };
    balancer.recordTiming(ALL[0] as RunnerId, { ...timing, promptTokens: undefined }, 100);
    expect(balancer.ownReport(600).paces).toEqual([[ALL[0] as RunnerId, 52]]);
    expect(balancer.ownReport(1_200).paces).toEqual(undefined);
  });
});

describe("another attempt", () => {
  it("is made while at least half of the expected time is left, or if no time is expected", () => {
    expect([canFinishInTime(100, 200), canFinishInTime(99, 200), canFinishInTime(1, undefined)]).toEqual([
      true,
      false,
      true,
    ]);
  });
});
