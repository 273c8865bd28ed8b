/** A few seeds of the simulation, fixed so that every run reaches the same verdict. `npm run simulate` runs more. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { runSimulation } from "../../bench/simulation/run-simulation.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

const DURATION_MS = 30_000;

describe("what must always hold, on virtual time", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  it("holds under faults of different kinds at once", async () => {
    for (const seed of [401, 402, 403]) {
      const result = await runSimulation({ seed, durationMs: DURATION_MS }, hash);
      expect(result.broken).toEqual([]);
    }
  });

  it("cuts no request and shows no error when nodes stop as planned", async () => {
    const result = await runSimulation({ seed: 500, durationMs: DURATION_MS, kinds: ["drain-node"] }, hash);
    expect(result.observations.failures).toEqual(0);
  });

  it("gives the same trace for the same seed, byte for byte", async () => {
    const [first, second] = [
      await runSimulation({ seed: 600, durationMs: 25_000 }, hash),
      await runSimulation({ seed: 600, durationMs: 25_000 }, hash),
    ];
    expect(first.trace).toEqual(second.trace);
  });

  it("never lets a tenant spend more than its budget, and says so to who comes too late", async () => {
    const budgetTokens = 9_000;
    const result = await runSimulation(
      { seed: 700, durationMs: DURATION_MS, kinds: ["kill-node"], budgetTokens },
      hash,
    );
    expect(result.broken).toEqual([]);
    const refused = result.observations.turns.filter((turn) => turn.outcome === "not-run").length;
    expect(refused > 0).toEqual(true);
  });
});
