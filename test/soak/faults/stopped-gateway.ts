import type { SignalledProcess } from "../soak-cluster.ts";
import { SoakFault } from "./soak-fault.ts";

/** A gateway is stopped as planned, and started again once it has ended. */
export class StoppedGateway extends SoakFault {
  #processes: SignalledProcess[] = [];

  override begin(): string {
    const gateway = this.draw(this.cluster.gateways);
    this.#processes = this.cluster.signalAll([gateway], "SIGTERM");
    return gateway.name;
  }

  override end(): void {
    for (const stopped of this.#processes) void this.cluster.restartOnceEnded(stopped);
  }
}
