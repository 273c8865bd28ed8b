/** Short soaks in CI: each seed that ever broke a promise, with its cause, and one that draws every kind of fault. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { SOAK_FAULTS } from "./faults/soak-faults.ts";
import { runSoak } from "./run-soak.ts";

const DURATION_MS = 10_000;
const LEAST_TRIES = 200;
/** Turns that must be gone on from after the faults, so that the check of retained turns says something. */
const MIN_CONTINUED_TURNS = 50;

/** Seeds that broke a promise. */
const REGRESSIONS: [seed: number, faults: string[], cause: string][] = [
  [1, ["storeThenKilled"], "all gateways are killed while the store is in trouble"],
];

async function expectNoBrokenPromise(seed: number, faults: readonly string[]): Promise<void> {
  const { ledger } = await runSoak({ seed, faults, durationMs: DURATION_MS });
  expect(ledger.broken).toEqual([]);
  expect(ledger.tries.length > LEAST_TRIES).toEqual(true);
  expect(ledger.continuedTurns > MIN_CONTINUED_TURNS).toEqual(true);
}

describe("soak", () => {
  it("holds under faults of every kind", () => expectNoBrokenPromise(1, Object.keys(SOAK_FAULTS)));
  for (const [seed, faults, cause] of REGRESSIONS) {
    it(`holds where ${cause} (seed ${seed})`, () => expectNoBrokenPromise(seed, faults));
  }
});
