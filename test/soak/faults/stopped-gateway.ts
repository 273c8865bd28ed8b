import type { SignalledProcess } from "../soak-cluster.ts";
import { SoakFault } from "./soak-fault.ts";

/** Stops a gateway with SIGTERM, and restarts it once it has ended. */
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
