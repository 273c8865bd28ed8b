/** Keys and limits of tenants under every kind of fault, alone and in pairs, in virtual time. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { GATEWAY_FAULTS, type GatewayFault } from "../../bench/simulation/gateways/gateway-faults.ts";
import {
  type GatewayFleet,
  RELAYED_FLEET,
  SMALL_FLEET,
} from "../../bench/simulation/gateways/gateway-world.ts";
import { runTenantSimulation } from "../../bench/simulation/gateways/run-tenant-simulation.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

const DURATION_MS = 20_000;
const PAIRS: [GatewayFault, GatewayFault][] = [
  ["kill", "part-peers"],
  ["kill", "freeze"],
  ["freeze", "part-peers"],
  ["kill-all", "store-silent"],
  ["part-peers", "cut-store"],
  ["kill", "store-busy"],
  ["freeze", "late-writes"],
  ["planned-stop", "part-peers"],
  ["messages-lost", "cut-store-answers"],
  ["messages-lost", "kill"],
];
/** A run that admits fewer requests is too small to be meaningful. */
const LEAST_ADMITTED = 300;

describe("guarantees of tenants' keys and limits", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  async function expectKept(
    seed: number,
    faults: readonly GatewayFault[],
    fleet: GatewayFleet,
  ): Promise<void> {
    const result = await runTenantSimulation({ seed, faults, durationMs: DURATION_MS, fleet }, hash);
    expect(result.broken).toEqual([]);
    const admitted = result.tenants.reduce((sum, tenant) => sum + tenant.admitted.length, 0);
    expect(admitted > LEAST_ADMITTED).toEqual(true);
  }

  it("holds without faults", () => expectKept(1, [], SMALL_FLEET));
  for (const [index, fault] of GATEWAY_FAULTS.entries())
    it(`holds under ${fault}`, () => expectKept(300 + index, [fault], SMALL_FLEET));
  for (const [index, faults] of PAIRS.entries())
    it(`holds under ${faults.join(" and ")}`, () =>
      expectKept(400 + index, faults, index % 2 === 0 ? SMALL_FLEET : RELAYED_FLEET));
});
