/** Compares response times when gateways and zones differ: with all gateways treated alike, and selected by headroom. */
import { describe, it, type TestContext } from "node:test";
import { expect } from "earl";
import type { GatewayCandidate } from "../../src/scheduling/caller-spread/gateway-candidate.ts";
import { FULL_HEADROOM } from "../../src/scheduling/caller-spread/headroom.ts";
import { HeadroomController } from "../../src/scheduling/caller-spread/headroom-controller.ts";
import { selectGateways } from "../../src/scheduling/caller-spread/select-gateways.ts";
import { type CallerScenario, type CallerTimes, simulateCallers } from "./support/caller-load.ts";

/** Where headroom brings no gain, it may be worse by this factor at most: the results vary by chance. */
const NO_WORSE_FACTOR = 1.05;
const PERIOD_MS = 17_000;

const WAVES: CallerScenario = {
  durationMs: 51_000,
  byHeadroom: true,
  demand: (zone, nowMs) => 0.6 * (1 + 0.55 * Math.sin(2 * Math.PI * (nowMs / PERIOD_MS + zone / 3))),
  reportedHeadroom: (_, headroom) => headroom,
};

function simulateBoth(t: TestContext, load: CallerScenario): [uniform: CallerTimes, byHeadroom: CallerTimes] {
  const uniform = simulateCallers({ ...load, byHeadroom: false });
  const byHeadroom = simulateCallers(load);
  t.diagnostic(`ms alike ${JSON.stringify(uniform)}, by headroom ${JSON.stringify(byHeadroom)}`);
  expect(byHeadroom.fewest >= 4).toEqual(true);
  return [uniform, byHeadroom];
}

function expectBetter([uniform, byHeadroom]: [uniform: CallerTimes, byHeadroom: CallerTimes]): void {
  expect(byHeadroom.mean < uniform.mean && byHeadroom.p95 < uniform.p95).toEqual(true);
}

describe("callers with gateways selected by headroom", () => {
  it("wait less when the demand rises and falls at different times in each zone", (t) => {
    expectBetter(simulateBoth(t, WAVES));
  });

  it("wait less when 80% of a zone's callers move to another zone", (t) => {
    const moved = (nowMs: number) => (nowMs > 5_000 && nowMs < 15_000 ? 0.8 : 0);
    const demand = (zone: number, nowMs: number) => {
      if (zone === 0) return 0.45 * (1 - moved(nowMs));
      return zone === 1 ? 0.45 * (1 + moved(nowMs)) : 0.45;
    };
    expectBetter(simulateBoth(t, { ...WAVES, durationMs: 25_000, demand }));
  });

  it("wait less if a third of the gateways are of a build that does not report headroom", (t) => {
    const reportedHeadroom = (gateway: number, headroom: number) =>
      gateway % 3 === 0 ? undefined : headroom;
    expectBetter(simulateBoth(t, { ...WAVES, reportedHeadroom }));
  });

  it("wait no longer while all gateways are overloaded at once", (t) => {
    const [uniform, byHeadroom] = simulateBoth(t, { ...WAVES, durationMs: 10_000, demand: () => 1.1 });
    expect(byHeadroom.mean <= NO_WORSE_FACTOR * uniform.mean).toEqual(true);
  });

  it("wait no longer if the known headroom of gateways is three seconds old", (t) => {
    const headroomHistory = new Map<number, number[]>();
    const reportedHeadroom = (gateway: number, headroom: number) => {
      const history = headroomHistory.get(gateway) ?? [];
      headroomHistory.set(gateway, history);
      history.push(headroom);
      return history[Math.max(0, history.length - 6)];
    };
    const [uniform, byHeadroom] = simulateBoth(t, { ...WAVES, reportedHeadroom });
    expect(byHeadroom.mean <= NO_WORSE_FACTOR * uniform.mean).toEqual(true);
  });
});

describe("gateways selected for a caller", () => {
  const gateway = (zone: string, more: Partial<GatewayCandidate> = {}): GatewayCandidate => ({
    address: zone,
    zone,
    headroom: FULL_HEADROOM,
    knownForMs: 60_000,
    draw: 0.5,
    ...more,
  });
  const zonesOf = (candidates: GatewayCandidate[], zone: string | undefined) =>
    selectGateways(candidates, zone).map((candidate) => candidate.zone);

  it("are those of the caller's zone while all of these have the same headroom", () => {
    for (const headroom of [undefined, FULL_HEADROOM, 3]) {
      const localGateways = Array.from({ length: 3 }, () => gateway("a", { headroom, draw: 0.99 }));
      expect(zonesOf([...localGateways, gateway("b"), gateway("b")], "a")).toEqual(["a", "a", "a"]);
    }
  });

  it("are all if the zone is unknown or has one gateway, and all of the zone if no gateway has headroom", () => {
    expect(zonesOf([gateway("a"), gateway("b")], undefined)).toEqual(["a", "b"]);
    expect(zonesOf([gateway("a"), gateway("b")], "a")).toEqual(["a", "b"]);
    const exhausted = [gateway("a"), gateway("a"), gateway("b")].map((one) => ({ ...one, headroom: 0 }));
    expect(zonesOf(exhausted, "a")).toEqual(["a", "a"]);
    expect(selectGateways([], "a")).toEqual([]);
  });

  it("include a gateway with less headroom, or a new one, in a fraction of the answers", () => {
    const slow = gateway("a", { address: "slow", headroom: 1 });
    const newcomer = gateway("a", { address: "fresh", knownForMs: 300 });
    const full = Array.from({ length: 4 }, () => gateway("a"));
    const selectedAt = (draw: number) => {
      const selected = selectGateways([...full, { ...slow, draw }, { ...newcomer, draw }], "a");
      return selected.slice(full.length).map(({ address }) => address);
    };
    expect([selectedAt(0.2), selectedAt(0.3), selectedAt(0.4)]).toEqual([["slow", "fresh"], ["fresh"], []]);
  });

  it("are at least four if that many exist, those with the most headroom", () => {
    const localGateways = [0, 1, 2, 3, 4, 0].map((headroom) => gateway("a", { headroom, draw: 0.9 }));
    const selected = selectGateways(localGateways, "a").map(({ headroom }) => headroom);
    expect(selected).toEqual([4, 3, 2, 1]);
  });

  it("include other zones before the caller's zone is full, but only those that are not short", () => {
    const localGateways = [gateway("a", { headroom: 2 }), gateway("a", { headroom: 2 })];
    const remoteGateways = [gateway("b", { draw: 0.1 }), gateway("c", { draw: 0.1, headroom: 1 })];
    expect(zonesOf([...localGateways, ...remoteGateways], "a")).toEqual(["a", "a", "b"]);
  });
});

describe("the headroom of a gateway", () => {
  const idle = { busy: 0.1, memory: 0.4, calls: 0.1, stoodStill: false };

  function headroomAfter(
    controller: HeadroomController,
    pressure: Partial<typeof idle>,
    fromMs: number,
    toMs: number,
  ): number {
    for (let nowMs = fromMs; nowMs < toMs; nowMs += 500) controller.update({ ...idle, ...pressure }, nowMs);
    return controller.headroom;
  }

  for (const pressure of [{ busy: 0.9 }, { memory: 0.95 }, { calls: 1.5 }]) {
    it(`is lowered by one step every two seconds and raised again in the same way, ${JSON.stringify(pressure)}`, () => {
      const controller = new HeadroomController();
      headroomAfter(controller, idle, 0, 5_000);
      expect(headroomAfter(controller, pressure, 5_000, 9_000) < FULL_HEADROOM).toEqual(true);
      const least = headroomAfter(controller, pressure, 9_000, 20_000);
      expect(least).toEqual(0);
      expect(headroomAfter(controller, idle, 20_000, 22_000) <= 1).toEqual(true);
      expect(headroomAfter(controller, idle, 22_000, 32_000)).toEqual(FULL_HEADROOM);
    });
  }

  it("does not change while the load is neither high nor low", () => {
    const controller = new HeadroomController();
    expect(headroomAfter(controller, { busy: 0.4 }, 0, 60_000)).toEqual(FULL_HEADROOM);
  });

  it("is lowered at once when the process has stalled", () => {
    const controller = new HeadroomController();
    headroomAfter(controller, idle, 0, 5_000);
    expect(headroomAfter(controller, { stoodStill: true }, 5_000, 5_500)).toEqual(1);
  });
});
