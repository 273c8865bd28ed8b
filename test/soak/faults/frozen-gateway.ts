import type { StartedProcess } from "../../process/support/child-process.ts";
import { SoakFault } from "./soak-fault.ts";

/** Suspends a gateway process, which later resumes with stale state. */
export class FrozenGateway extends SoakFault {
  #process: StartedProcess | undefined;

  override begin(): string {
    const { name, process } = this.draw(this.cluster.gateways);
    this.#process = process;
    process.signal("SIGSTOP");
    return name;
  }

  override end(): void {
    this.#process?.signal("SIGCONT");
  }
}
