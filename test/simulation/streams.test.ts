/** Streams before runners of several software versions, under every kind of fault, in virtual time. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { GATEWAY_FAULTS, type GatewayFault } from "../../bench/simulation/gateways/gateway-faults.ts";
import {
  type GatewayFleet,
  RELAYED_FLEET,
  SMALL_FLEET,
} from "../../bench/simulation/gateways/gateway-world.ts";
import { runStreamSimulation } from "../../bench/simulation/gateways/run-stream-simulation.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

const DURATION_MS = 20_000;
const PAIRS: [GatewayFault, GatewayFault][] = [
  ["kill-half", "cut-store"],
  ["kill-half", "messages-lost"],
  ["kill", "cut-off"],
  ["kill-half", "freeze"],
  ["kill", "store-silent"],
  ["kill-half", "history-dropped"],
];
/** A run in which callers take up fewer streams is too small to be meaningful. */
const LEAST_RESUMED = 50;

describe("software versions of streams", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  async function expectKept(
    seed: number,
    faults: readonly GatewayFault[],
    fleet: GatewayFleet,
  ): Promise<void> {
    const result = await runStreamSimulation({ seed, faults, durationMs: DURATION_MS, fleet }, hash);
    expect(result.broken).toEqual([]);
    expect(result.resumed > LEAST_RESUMED).toEqual(true);
  }

  it("hold without faults", () => expectKept(1, [], SMALL_FLEET));
  for (const [index, fault] of GATEWAY_FAULTS.entries())
    it(`hold under ${fault}`, () => expectKept(500 + index, [fault], SMALL_FLEET));
  for (const [index, faults] of PAIRS.entries())
    it(`hold under ${faults.join(" and ")}`, () =>
      expectKept(600 + index, faults, index % 2 === 0 ? SMALL_FLEET : RELAYED_FLEET));
});
