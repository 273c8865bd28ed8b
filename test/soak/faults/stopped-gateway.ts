import type { TestGateway } from "../../process/support/gateway-cluster.ts";
import { SoakFault } from "./soak-fault.ts";

/** A gateway is stopped as planned, and started again once it has ended. */
export class StoppedGateway extends SoakFault {
  #struck: TestGateway | undefined;

  override begin(): string {
    const gateway = this.draw(this.cluster.gateways);
    this.#struck = gateway;
    gateway.process.signal("SIGTERM");
    return gateway.name;
  }

  override end(): void {
    const gateway = this.#struck;
    if (!gateway) return;
    const { process } = gateway;
    void process.exited.then(() => {
      if (gateway.process === process && !this.cluster.stopped) this.cluster.restart(gateway);
    });
  }
}
