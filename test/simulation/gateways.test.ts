/** Gateways' partitions and configuration under every kind of fault, alone and in pairs, on virtual time. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { GATEWAY_FAULTS, type GatewayFault } from "../../bench/simulation/gateways/gateway-faults.ts";
import { runGatewaySimulation } from "../../bench/simulation/gateways/run-gateway-simulation.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

const DURATION_MS = 20_000;
const LEAST_GRANTED = 100;

function pairs(): [GatewayFault, GatewayFault][] {
  return GATEWAY_FAULTS.flatMap((first, index) =>
    GATEWAY_FAULTS.slice(index + 1).map((second): [GatewayFault, GatewayFault] => [first, second]),
  );
}

describe("what gateways must always keep", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  async function expectKept(seed: number, faults: readonly GatewayFault[]): Promise<void> {
    const result = await runGatewaySimulation({ seed, faults, durationMs: DURATION_MS }, hash);
    expect(result.broken).toEqual([]);
    expect(result.granted > LEAST_GRANTED).toEqual(true);
  }

  it("holds without faults", () => expectKept(1, []));

  for (const fault of GATEWAY_FAULTS) it(`holds under ${fault}`, () => expectKept(2, [fault]));

  for (const [index, faults] of pairs().entries()) {
    it(`holds under ${faults.join(" and ")}`, () => expectKept(100 + index, faults));
  }
});
