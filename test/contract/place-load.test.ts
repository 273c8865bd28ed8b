/**
 * Compares a dispatcher with runners that serve calls in order of arrival, while callers compete for places. The group
 * has 48 places and a turn takes 250 ms, so that it can serve 192 turns per second. Programs have four turns, and a
 * deadline of 1.4 times the time that they take on idle runners, plus 250 ms.
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import { type Demand, PlaceLoadSimulation, TURN_MS } from "./support/place-load.ts";

const DURATION_MS = 10_000;
/** Rate of programs with four turns each that uses all places. */
const CAPACITY_PROGRAMS_PER_S = 48;

function simulate(
  isDispatched: boolean,
  demands: readonly Demand[],
  holdingMsAt?: (nowMs: number) => number,
): PlaceLoadSimulation {
  const simulation = new PlaceLoadSimulation(isDispatched, holdingMsAt);
  simulation.run(demands, DURATION_MS);
  return simulation;
}

function demandOfTenants(count: number, share: number, overrides: Partial<Demand> = {}): Demand[] {
  const perSecond = (CAPACITY_PROGRAMS_PER_S * share) / count;
  return Array.from({ length: count }, (_, index) => ({
    tenant: `${overrides.rank ?? 0}-${overrides.subAgents ?? 0}-${index}`,
    turns: 4,
    perSecond,
    ...overrides,
  }));
}

describe("callers that compete for places", () => {
  it("a tenant at ten times its usual load, beside 78 others, harms only itself", () => {
    const hot = { tenant: "hot", turns: 4, perSecond: 45, fromMs: 2_000, untilMs: 8_000 };
    const demands = [...demandOfTenants(78, 0.75), hot];
    const isOtherTenant = (tenant: string) => tenant !== "hot";
    const simulation = simulate(true, demands);
    expect(simulation.share("inTime", isOtherTenant)).toBeGreaterThan(0.98);
    expect(simulation.share("failed")).toEqual(0);
    // The hot tenant gets the places that the others do not use.
    expect(simulation.share("refused", (tenant) => tenant === "hot")).toBeLessThan(0.7);
    expect(simulate(false, demands).share("inTime", isOtherTenant)).toBeLessThan(0.5);
  });

  it("three ranks at 1.5 times the capacity: important programs are served, and no rank starves", () => {
    const demands = [0, 1, 2].flatMap((rank) => demandOfTenants(10, 0.5, { rank }));
    const simulation = simulate(true, demands);
    const served = [0, 1, 2].map(
      (rank) => 1 - simulation.share("refused", (name) => name.startsWith(`${rank}-`)),
    );
    expect(simulation.share("inTime", (name) => name.startsWith("0-"))).toBeGreaterThan(0.98);
    expect(served[0]).toBeGreaterThanOrEqual(served[1] as number);
    expect(served[1]).toBeGreaterThanOrEqual(served[2] as number);
    expect(served[2]).toBeGreaterThan(0.05);
    // At most two thirds can be served at all. Admitted programs finish, nearly always in time.
    expect(simulation.share("inTime")).toBeGreaterThan(0.6);
    expect(simulation.share("late")).toBeLessThan(0.05);
    expect(simulation.share("failed")).toEqual(0);
    expect(simulate(false, demands).share("inTime")).toBeLessThan(0.3);
  });

  it("all runners slow for 5 s: programs that have begun finish, the others are refused at once", () => {
    const demands = demandOfTenants(30, 0.7);
    const holdingMsAt = (nowMs: number) => (nowMs >= 3_000 && nowMs < 8_000 ? 3 * TURN_MS : TURN_MS);
    const simulation = simulate(true, demands, holdingMsAt);
    const firstComeFirstServed = simulate(false, demands, holdingMsAt);
    expect(simulation.share("failed")).toEqual(0);
    expect(simulation.share("inTime")).toBeGreaterThan(firstComeFirstServed.share("inTime"));
    expect(firstComeFirstServed.share("failed")).toBeGreaterThan(0.1);
  });

  it("five sub-agents at a time: programs that have begun continue, and most finish in time", () => {
    const demands = [...demandOfTenants(30, 0.7), ...demandOfTenants(10, 0.19, { subAgents: 5 })];
    const simulation = simulate(true, demands);
    expect(simulation.share("failed")).toEqual(0);
    expect(simulation.share("inTime")).toBeGreaterThan(0.75);
    expect(simulate(false, demands).share("inTime")).toBeLessThan(0.5);
  });
});
