/** A gateway cluster in which dispatchers assign the runners' places from the start. */
import type { RunnerStandin } from "../../../standins/platform/runner-standin.ts";
import { GatewayCluster, pause, type TestGateway } from "./gateway-cluster.ts";
import { TestAddresses } from "./test-addresses.ts";

const POLL_MS = 20;
/** Time until all gateways know of taken places: two heartbeats, plus start and message delays on a busy machine. */
export const PROPAGATION_MS = 1_300;
/** Number of places (slots) of a runner. */
export const SLOTS = 8;
const DISPATCHER_TIMEOUT_MS = 5_000;

/** A gateway cluster with dispatching enabled at any load. */
export class DispatchedCluster extends GatewayCluster {
  static async open(gateways: number, engines: number, services: number): Promise<DispatchedCluster> {
    const cluster = new DispatchedCluster(new TestAddresses());
    await cluster.startAll(gateways, engines, services);
    return cluster;
  }

  /** Waits until the log of a gateway shows that it has become a dispatcher, and returns the first such gateway. */
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

  /** Returns the gateway at an index, modulo the number of gateways. */
  gateway(index: number): TestGateway {
    return this.gateways[index % this.gateways.length] as TestGateway;
  }

  /**
   * Occupies all places of a runner with calls whose steps take `stepMs`, and waits until all gateways know that the
   * places are taken.
   */
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
