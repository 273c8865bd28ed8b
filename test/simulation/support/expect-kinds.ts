import { before, describe, it } from "node:test";
import { expect } from "earl";
import type { FaultKind } from "../../../bench/simulation/faults.ts";
import { runSimulation } from "../../../bench/simulation/run-simulation.ts";
import { loadTextHash, type TextHash } from "../../../src/runtime/text-hash.ts";

const DURATION_MS = 25_000;
const SEED = 300;
/** Minimum number of turns in a run, so that a stalled system does not pass. */
const LEAST_TURNS = 50;

/** Defines a test for each kind of fault: the fault occurs twice within two seconds, and every guarantee must hold. */
export function expectPromisesUnder(name: string, kinds: readonly FaultKind[]): void {
  describe(`guarantees under ${name}`, () => {
    let hash: TextHash;
    before(async () => {
      hash = await loadTextHash();
    });
    for (const kind of kinds) {
      it(`holds under ${kind}`, async () => {
        const result = await runSimulation({ seed: SEED, durationMs: DURATION_MS, kinds: [kind] }, hash);
        expect(result.broken).toEqual([]);
        expect(result.observations.turns.length > LEAST_TURNS).toEqual(true);
      });
    }
  });
}
