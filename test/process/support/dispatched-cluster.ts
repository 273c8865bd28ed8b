/** A cluster whose runners' places are handed out by dispatchers from the start. */
import type { RunnerStandin } from "../../../standins/platform/runner-standin.ts";
import { GatewayCluster, pause, type TestGateway } from "./gateway-cluster.ts";
import { TestAddresses } from "./test-addresses.ts";

const POLL_MS = 20;
/** Two heartbeats, and what starts and messages take on a busy machine. */
export const PROPAGATION_MS = 1_300;
/** Places of a runner. */
export const SLOTS = 8;
const DISPATCHER_TIMEOUT_MS = 5_000;

/** See the module's comment. */
export class DispatchedCluster extends GatewayCluster {
  static async open(gateways: number, engines: number, services: number): Promise<DispatchedCluster> {
    const cluster = new DispatchedCluster(new TestAddresses());
    await cluster.startAll(gateways, engines, services);
    return cluster;
  }

  /** The first gateway that has begun to hand out places, once its log says so. */
  async dispatcher(): Promise<TestGateway> {
    const deadlineMs = performance.now() + DISPATCHER_TIMEOUT_MS;
    for (;;) {
      const found = this.gateways.find(({ process }) =>
        process.collectedOutput.includes('"hands out places"'),
      );
      if (found) return found;
      if (performance.now() > deadlineMs) throw new Error("no gateway hands out places");
      await pause(POLL_MS);
    }
  }

  /** A gateway; they are counted round. */
  gateway(index: number): TestGateway {
    return this.gateways[index % this.gateways.length] as TestGateway;
  }

  /** Takes all places of a runner, whose steps last for `stepMs` now, until all gateways have heard of it. */
  async fill(
    runner: RunnerStandin,
    stepMs: number,
    send: (gateway: TestGateway, index: number) => Promise<unknown>,
  ): Promise<void> {
    runner.stepMs = stepMs;
    for (let index = 0; index < SLOTS; index += 1) void send(this.gateway(index), index);
    await pause(PROPAGATION_MS);
  }

  protected override get extraSettings(): object {
    return { places: { dispatchBelow: 1_000 } };
  }
}
