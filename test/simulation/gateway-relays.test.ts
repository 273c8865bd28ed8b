/** The promises of gateways.test.ts where gateways are so many that relays carry their heartbeats. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import type { GatewayFault } from "../../bench/simulation/gateways/gateway-faults.ts";
import { RELAYED_FLEET } from "../../bench/simulation/gateways/gateway-world.ts";
import { runGatewaySimulation } from "../../bench/simulation/gateways/run-gateway-simulation.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

const DURATION_MS = 20_000;
const LEAST_GRANTED = 100;

/** Seeds that once broke a promise, with the cause. */
const REGRESSIONS: [seed: number, faults: GatewayFault[], cause: string][] = [
  [202, ["store-slow", "store-slow"], "a status was dropped while its gateway was heard directly"],
  [205, ["cut-store-answers", "history-dropped"], "an owner that was forgotten was not named again"],
  [300, ["store-slow", "store-slow"], "gateways chose different owners from different statuses"],
  [306, ["planned-stop", "kill-all"], "an owner that was forgotten was not named again"],
];

const FAULTS: GatewayFault[][] = [
  [],
  ["kill"],
  ["freeze"],
  ["planned-stop"],
  ["part-peers"],
  ["kill-all", "store-silent"],
  ["messages-lost", "kill"],
];

describe("what gateways must always keep when relays carry their heartbeats", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  async function expectKept(seed: number, faults: readonly GatewayFault[]): Promise<void> {
    const options = { seed, faults, durationMs: DURATION_MS, fleet: RELAYED_FLEET };
    const result = await runGatewaySimulation(options, hash);
    expect(result.broken).toEqual([]);
    expect(result.granted > LEAST_GRANTED).toEqual(true);
  }

  for (const [index, faults] of FAULTS.entries()) {
    it(`holds under ${faults.join(" and ") || "no faults"}`, () => expectKept(500 + index, faults));
  }
  for (const [seed, faults, cause] of REGRESSIONS) {
    it(`holds where ${cause} (seed ${seed})`, () => expectKept(seed, faults));
  }
});
