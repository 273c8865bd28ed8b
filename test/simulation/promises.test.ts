/** Runs a few fixed seeds of the simulation, so that the result is reproducible. `npm run simulate` runs more. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { runSimulation } from "../../bench/simulation/run-simulation.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

const DURATION_MS = 30_000;

describe("guarantees in virtual time", () => {
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

  it("interrupts no request and returns no error when nodes stop as planned", async () => {
    const result = await runSimulation({ seed: 500, durationMs: DURATION_MS, kinds: ["drain-node"] }, hash);
    expect(result.observations.failures).toEqual(0);
  });

  it("produces exactly the same trace for the same seed", async () => {
    const [first, second] = [
      await runSimulation({ seed: 600, durationMs: 25_000 }, hash),
      await runSimulation({ seed: 600, durationMs: 25_000 }, hash),
    ];
    expect(first.trace).toEqual(second.trace);
  });

  it("never lets a tenant exceed its budget, and refuses further turns", async () => {
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
