/** What callers get when gateways and zones are uneven: told of all gateways alike, and by headroom. */
import { describe, it, type TestContext } from "node:test";
import { expect } from "earl";
import type { GatewayCandidate } from "../../src/scheduling/caller-spread/gateway-candidate.ts";
import { FULL_HEADROOM } from "../../src/scheduling/caller-spread/headroom.ts";
import { HeadroomControl } from "../../src/scheduling/caller-spread/headroom-control.ts";
import { spreadCallers } from "../../src/scheduling/caller-spread/spread-callers.ts";
import { type CallerLoad, type CallerTimes, playCallers } from "./support/caller-load.ts";

/** What is no better by headroom must not be worse, but for the play of chance. */
const AS_GOOD = 1.05;
const PERIOD_MS = 17_000;

const WAVES: CallerLoad = {
  lengthMs: 51_000,
  byHeadroom: true,
  demand: (zone, nowMs) => 0.6 * (1 + 0.55 * Math.sin(2 * Math.PI * (nowMs / PERIOD_MS + zone / 3))),
  tell: (_, headroom) => headroom,
};

function playBoth(t: TestContext, load: CallerLoad): [alike: CallerTimes, byHeadroom: CallerTimes] {
  const alike = playCallers({ ...load, byHeadroom: false });
  const byHeadroom = playCallers(load);
  t.diagnostic(`ms alike ${JSON.stringify(alike)}, by headroom ${JSON.stringify(byHeadroom)}`);
  expect(byHeadroom.fewest >= 4).toEqual(true);
  return [alike, byHeadroom];
}

function expectBetter([alike, byHeadroom]: [alike: CallerTimes, byHeadroom: CallerTimes]): void {
  expect(byHeadroom.mean < alike.mean && byHeadroom.p95 < alike.p95).toEqual(true);
}

describe("callers by headroom", () => {
  it("wait less in waves that differ by zone", (t) => {
    expectBetter(playBoth(t, WAVES));
  });

  it("wait less when 80% of a zone's callers move to another zone", (t) => {
    const moved = (nowMs: number) => (nowMs > 5_000 && nowMs < 15_000 ? 0.8 : 0);
    const demand = (zone: number, nowMs: number) => {
      if (zone === 0) return 0.45 * (1 - moved(nowMs));
      return zone === 1 ? 0.45 * (1 + moved(nowMs)) : 0.45;
    };
    expectBetter(playBoth(t, { ...WAVES, lengthMs: 25_000, demand }));
  });

  it("wait less where a third of the gateways are of a build that tells nothing", (t) => {
    const tell = (gateway: number, headroom: number) => (gateway % 3 === 0 ? undefined : headroom);
    expectBetter(playBoth(t, { ...WAVES, tell }));
  });

  it("wait no longer while all gateways are short at once", (t) => {
    const [alike, byHeadroom] = playBoth(t, { ...WAVES, lengthMs: 10_000, demand: () => 1.1 });
    expect(byHeadroom.mean <= AS_GOOD * alike.mean).toEqual(true);
  });

  it("wait no longer although what is known of gateways is three seconds old", (t) => {
    const said = new Map<number, number[]>();
    const tell = (gateway: number, headroom: number) => {
      const steps = said.get(gateway) ?? [];
      said.set(gateway, steps);
      steps.push(headroom);
      return steps[Math.max(0, steps.length - 6)];
    };
    const [alike, byHeadroom] = playBoth(t, { ...WAVES, tell });
    expect(byHeadroom.mean <= AS_GOOD * alike.mean).toEqual(true);
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
    spreadCallers(candidates, zone).map((candidate) => candidate.zone);

  it("are those of the caller's zone while these are alike, whatever their step", () => {
    for (const headroom of [undefined, FULL_HEADROOM, 3]) {
      const near = Array.from({ length: 3 }, () => gateway("a", { headroom, draw: 0.99 }));
      expect(zonesOf([...near, gateway("b"), gateway("b")], "a")).toEqual(["a", "a", "a"]);
    }
  });

  it("are all where the zone is not known, has one gateway, or all are at their end", () => {
    expect(zonesOf([gateway("a"), gateway("b")], undefined)).toEqual(["a", "b"]);
    expect(zonesOf([gateway("a"), gateway("b")], "a")).toEqual(["a", "b"]);
    const short = [gateway("a"), gateway("a"), gateway("b")].map((one) => ({ ...one, headroom: 0 }));
    expect(zonesOf(short, "a")).toEqual(["a", "a"]);
    expect(spreadCallers([], "a")).toEqual([]);
  });

  it("leave out by part who can take less, and who has just come", () => {
    const slow = gateway("a", { address: "slow", headroom: 1 });
    const fresh = gateway("a", { address: "fresh", knownForMs: 300 });
    const full = Array.from({ length: 4 }, () => gateway("a"));
    const at = (draw: number) => {
      const named = spreadCallers([...full, { ...slow, draw }, { ...fresh, draw }], "a");
      return named.slice(full.length).map(({ address }) => address);
    };
    expect([at(0.2), at(0.3), at(0.4)]).toEqual([["slow", "fresh"], ["fresh"], []]);
  });

  it("are four at least where there are so many, the ones that can take most", () => {
    const near = [0, 1, 2, 3, 4, 0].map((headroom) => gateway("a", { headroom, draw: 0.9 }));
    const named = spreadCallers(near, "a").map(({ headroom }) => headroom);
    expect(named).toEqual([4, 3, 2, 1]);
  });

  it("are of other zones as well before the caller's zone is full, and only of such that are not short", () => {
    const near = [gateway("a", { headroom: 2 }), gateway("a", { headroom: 2 })];
    const far = [gateway("b", { draw: 0.1 }), gateway("c", { draw: 0.1, headroom: 1 })];
    expect(zonesOf([...near, ...far], "a")).toEqual(["a", "a", "b"]);
  });
});

describe("the headroom of a gateway", () => {
  const idle = { busy: 0.1, memory: 0.4, calls: 0.1, stoodStill: false };

  function after(
    control: HeadroomControl,
    pressure: Partial<typeof idle>,
    fromMs: number,
    toMs: number,
  ): number {
    for (let nowMs = fromMs; nowMs < toMs; nowMs += 500) control.look({ ...idle, ...pressure }, nowMs);
    return control.headroom;
  }

  for (const pressure of [{ busy: 0.9 }, { memory: 0.95 }, { calls: 1.5 }]) {
    it(`falls by a step each two seconds and comes back so, ${JSON.stringify(pressure)}`, () => {
      const control = new HeadroomControl();
      after(control, idle, 0, 5_000);
      expect(after(control, pressure, 5_000, 9_000) < FULL_HEADROOM).toEqual(true);
      const least = after(control, pressure, 9_000, 20_000);
      expect(least).toEqual(0);
      expect(after(control, idle, 20_000, 22_000) <= 1).toEqual(true);
      expect(after(control, idle, 22_000, 32_000)).toEqual(FULL_HEADROOM);
    });
  }

  it("stays while the load is neither high nor low", () => {
    const control = new HeadroomControl();
    expect(after(control, { busy: 0.4 }, 0, 60_000)).toEqual(FULL_HEADROOM);
  });

  it("falls at once when the process stood still", () => {
    const control = new HeadroomControl();
    after(control, idle, 0, 5_000);
    expect(after(control, { stoodStill: true }, 5_000, 5_500)).toEqual(1);
  });
});
