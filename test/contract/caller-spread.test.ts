/** What callers get when gateways and zones are uneven: told of all gateways alike, and by headroom. */
import { describe, it, type TestContext } from "node:test";
import { expect } from "earl";
import type { GatewayCandidate } from "../../src/scheduling/caller-spread/gateway-candidate.ts";
import { FULL_HEADROOM } from "../../src/scheduling/caller-spread/headroom.ts";
import { HeadroomController } from "../../src/scheduling/caller-spread/headroom-controller.ts";
import { selectGateways } from "../../src/scheduling/caller-spread/select-gateways.ts";
import { type CallerScenario, type CallerTimes, simulateCallers } from "./support/caller-load.ts";

/** What is no better by headroom must not be worse, but for the play of chance. */
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

describe("callers by headroom", () => {
  it("wait less in waves that differ by zone", (t) => {
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

  it("wait less where a third of the gateways are of a build that tells nothing", (t) => {
    const reportedHeadroom = (gateway: number, headroom: number) =>
      gateway % 3 === 0 ? undefined : headroom;
    expectBetter(simulateBoth(t, { ...WAVES, reportedHeadroom }));
  });

  it("wait no longer while all gateways are short at once", (t) => {
    const [uniform, byHeadroom] = simulateBoth(t, { ...WAVES, durationMs: 10_000, demand: () => 1.1 });
    expect(byHeadroom.mean <= NO_WORSE_FACTOR * uniform.mean).toEqual(true);
  });

  it("wait no longer although what is known of gateways is three seconds old", (t) => {
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

describe("names of gateways", () => {
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

  it("are those of the caller's zone while these are alike, whatever their step", () => {
    for (const headroom of [undefined, FULL_HEADROOM, 3]) {
      const localGateways = Array.from({ length: 3 }, () => gateway("a", { headroom, draw: 0.99 }));
      expect(zonesOf([...localGateways, gateway("b"), gateway("b")], "a")).toEqual(["a", "a", "a"]);
    }
  });

  it("are all where the zone is not known, has one gateway, or all are at their end", () => {
    expect(zonesOf([gateway("a"), gateway("b")], undefined)).toEqual(["a", "b"]);
    expect(zonesOf([gateway("a"), gateway("b")], "a")).toEqual(["a", "b"]);
    const exhausted = [gateway("a"), gateway("a"), gateway("b")].map((one) => ({ ...one, headroom: 0 }));
    expect(zonesOf(exhausted, "a")).toEqual(["a", "a"]);
    expect(selectGateways([], "a")).toEqual([]);
  });

  it("leave out by part who can take less, and who has just come", () => {
    const slow = gateway("a", { address: "slow", headroom: 1 });
    const newcomer = gateway("a", { address: "fresh", knownForMs: 300 });
    const full = Array.from({ length: 4 }, () => gateway("a"));
    const selectedAt = (draw: number) => {
      const selected = selectGateways([...full, { ...slow, draw }, { ...newcomer, draw }], "a");
      return selected.slice(full.length).map(({ address }) => address);
    };
    expect([selectedAt(0.2), selectedAt(0.3), selectedAt(0.4)]).toEqual([["slow", "fresh"], ["fresh"], []]);
  });

  it("are four at least where there are so many, the ones that can take most", () => {
    const localGateways = [0, 1, 2, 3, 4, 0].map((headroom) => gateway("a", { headroom, draw: 0.9 }));
    const selected = selectGateways(localGateways, "a").map(({ headroom }) => headroom);
    expect(selected).toEqual([4, 3, 2, 1]);
  });

  it("are of other zones as well before the caller's zone is full, and only of such that are not short", () => {
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
    it(`falls by a step each two seconds and comes back so, ${JSON.stringify(pressure)}`, () => {
      const controller = new HeadroomController();
      headroomAfter(controller, idle, 0, 5_000);
      expect(headroomAfter(controller, pressure, 5_000, 9_000) < FULL_HEADROOM).toEqual(true);
      const least = headroomAfter(controller, pressure, 9_000, 20_000);
      expect(least).toEqual(0);
      expect(headroomAfter(controller, idle, 20_000, 22_000) <= 1).toEqual(true);
      expect(headroomAfter(controller, idle, 22_000, 32_000)).toEqual(FULL_HEADROOM);
    });
  }

  it("stays while the load is neither high nor low", () => {
    const controller = new HeadroomController();
    expect(headroomAfter(controller, { busy: 0.4 }, 0, 60_000)).toEqual(FULL_HEADROOM);
  });

  it("falls at once when the process stood still", () => {
    const controller = new HeadroomController();
    headroomAfter(controller, idle, 0, 5_000);
    expect(headroomAfter(controller, { stoodStill: true }, 5_000, 5_500)).toEqual(1);
  });
});
