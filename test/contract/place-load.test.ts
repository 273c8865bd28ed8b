/**
 * What callers get when they compete for places, from a dispatcher and from runners that take calls in the order of their
 * arrival. A group has 48 places and turns take 250 ms, so that it can do 192 turns a second. Programs have four turns, and
 * 1.4 times the time that they take on idle runners.
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import { type Demand, PlaceLoad, TURN_MS } from "./support/place-load.ts";

const LENGTH_MS = 10_000;
/** Programs a second of four turns each that take up all places. */
const PROGRAMS_PER_S = 48;

function play(
  dispatched: boolean,
  demands: readonly Demand[],
  holdMs?: (nowMs: number) => number,
): PlaceLoad {
  const load = new PlaceLoad(dispatched, holdMs);
  load.run(demands, LENGTH_MS);
  return load;
}

function tenants(count: number, share: number, more: Partial<Demand> = {}): Demand[] {
  const perSecond = (PROGRAMS_PER_S * share) / count;
  return Array.from({ length: count }, (_, index) => ({
    tenant: `${more.rank ?? 0}-${more.subAgents ?? 0}-${index}`,
    turns: 4,
    perSecond,
    ...more,
  }));
}

describe("callers who compete for places", () => {
  it("one tenant at ten times its usual beside 78: it harms itself only", () => {
    const hot = { tenant: "hot", turns: 4, perSecond: 45, fromMs: 2_000, untilMs: 8_000 };
    const demands = [...tenants(78, 0.75), hot];
    const isOther = (tenant: string) => tenant !== "hot";
    const load = play(true, demands);
    expect(load.share("inTime", isOther)).toBeGreaterThan(0.98);
    expect(load.share("failed")).toEqual(0);
    // What the others leave free is the hot tenant's.
    expect(load.share("refused", (tenant) => tenant === "hot")).toBeLessThan(0.7);
    expect(play(false, demands).share("inTime", isOther)).toBeLessThan(0.5);
  });

  it("three kinds at one and a half times the places: the important ones are served, and none starves", () => {
    const demands = [0, 1, 2].flatMap((rank) => tenants(10, 0.5, { rank }));
    const load = play(true, demands);
    const served = [0, 1, 2].map((rank) => 1 - load.share("refused", (name) => name.startsWith(`${rank}-`)));
    expect(load.share("inTime", (name) => name.startsWith("0-"))).toBeGreaterThan(0.98);
    expect(served[0]).toBeGreaterThanOrEqual(served[1] as number);
    expect(served[1]).toBeGreaterThanOrEqual(served[2] as number);
    expect(served[2]).toBeGreaterThan(0.05);
    // At most two thirds can be served at all. Whoever is let in ends, nearly always in time.
    expect(load.share("inTime")).toBeGreaterThan(0.6);
    expect(load.share("late")).toBeLessThan(0.05);
    expect(load.share("failed")).toEqual(0);
    expect(play(false, demands).share("inTime")).toBeLessThan(0.3);
  });

  it("all places slow for 5 s: those that have begun end, the others are told at once", () => {
    const demands = tenants(30, 0.7);
    const holdMs = (nowMs: number) => (nowMs >= 3_000 && nowMs < 8_000 ? 3 * TURN_MS : TURN_MS);
    const load = play(true, demands, holdMs);
    const firstCome = play(false, demands, holdMs);
    expect(load.share("failed")).toEqual(0);
    expect(load.share("inTime")).toBeGreaterThan(firstCome.share("inTime"));
    expect(firstCome.share("failed")).toBeGreaterThan(0.1);
  });

  it("sub-agents five at a time: programs that have begun go on, and most end in time", () => {
    const demands = [...tenants(30, 0.7), ...tenants(10, 0.19, { subAgents: 5 })];
    const load = play(true, demands);
    expect(load.share("failed")).toEqual(0);
    expect(load.share("inTime")).toBeGreaterThan(0.75);
    expect(play(false, demands).share("inTime")).toBeLessThan(0.5);
  });
});
