import { pause } from "../../process/support/gateway-cluster.ts";
import { FaultyStore } from "./faulty-store.ts";
import { SoakFault } from "./soak-fault.ts";

/** Time between the start of the store fault and the kill, in ms: shorter than any outage that gateways may survive. */
const SHORTEST_LEAD_MS = 300;
const LONGEST_LEAD_MS = 2_000;
/** Time between the kill and the restart, in ms. */
const MIN_DOWNTIME_MS = 500;
const MAX_DOWNTIME_MS = 1_500;
/** The store fault ends at most this long before or after the restart, in ms. */
const OVERLAP_MS = 1_500;

/** Kills all gateways during a store fault, and restarts them before or after the end of that fault. */
export class FaultyStoreThenKilled extends SoakFault {
  #sequence = Promise.resolve();

  override begin(): string {
    const storeFault = new FaultyStore(this.cluster, this.random);
    const kind = storeFault.beginPersistent();
    const leadMs = this.between(SHORTEST_LEAD_MS, LONGEST_LEAD_MS);
    const downtimeMs = this.between(MIN_DOWNTIME_MS, MAX_DOWNTIME_MS);
    const storeFaultMs = leadMs + Math.max(0, downtimeMs + this.between(-OVERLAP_MS, OVERLAP_MS));
    this.#sequence = this.#run(storeFault, leadMs, downtimeMs, storeFaultMs);
    return `${kind} for ${storeFaultMs} ms, all killed after ${leadMs} ms for ${downtimeMs} ms`;
  }

  /** Does nothing: the sequence ends by itself. */
  override end(): void {}

  override settled(): Promise<void> {
    return this.#sequence;
  }

  async #run(
    storeFault: FaultyStore,
    leadMs: number,
    downtimeMs: number,
    storeFaultMs: number,
  ): Promise<void> {
    const storeRecovered = pause(storeFaultMs).then(() => storeFault.end());
    await pause(leadMs);
    const killed = this.cluster.signalAll(this.cluster.gateways, "SIGKILL");
    await pause(downtimeMs);
    await Promise.all(killed.map((process) => this.cluster.restartOnceEnded(process)));
    await storeRecovered;
  }
}
