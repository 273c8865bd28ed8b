import { expect } from "earl";
import type { GatewayFault } from "../../../bench/simulation/gateways/gateway-faults.ts";
import { type GatewayFleet, SMALL_FLEET } from "../../../bench/simulation/gateways/gateway-world.ts";
import { runGatewaySimulation } from "../../../bench/simulation/gateways/run-gateway-simulation.ts";
import type { TextHash } from "../../../src/runtime/text-hash.ts";

/** Virtual time under faults of one run, in ms. */
export const DURATION_MS = 20_000;
/** A run that grants fewer turns is too small to be meaningful. */
const LEAST_GRANTED = 100;

/** Runs gateways under faults. Fails if a guarantee is violated, or if too few turns were granted to tell. */
export async function expectGatewaysKeep(
  hash: TextHash,
  seed: number,
  faults: readonly GatewayFault[],
  fleet: GatewayFleet = SMALL_FLEET,
): Promise<void> {
  const result = await runGatewaySimulation({ seed, faults, durationMs: DURATION_MS, fleet }, hash);
  expect(result.broken).toEqual([]);
  expect(result.granted > LEAST_GRANTED).toEqual(true);
}
