import type { TestGateway } from "../../process/support/gateway-cluster.ts";
import { SoakFault } from "./soak-fault.ts";

/** Kills one gateway or all at once, and restarts them at the end of the fault. */
export class KilledGateways extends SoakFault {
  #killed: TestGateway[] = [];

  override begin(): string {
    const { gateways } = this.cluster;
    this.#killed = this.random.unit() < ALL_GATEWAYS_SHARE ? [...gateways] : [this.draw(gateways)];
    this.cluster.signalAll(this.#killed, "SIGKILL");
    return this.#killed.map(({ name }) => name).join(" ");
  }

  override end(): void {
    for (const gateway of this.#killed) if (gateway.process.ended) this.cluster.restart(gateway);
  }
}

const ALL_GATEWAYS_SHARE = 0.3;
