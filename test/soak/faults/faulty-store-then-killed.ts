import { pause } from "../../process/support/gateway-cluster.ts";
import { FaultyStore } from "./faulty-store.ts";
import { SoakFault } from "./soak-fault.ts";

/** Between the beginning of the trouble and the kill, in ms: shorter than any outage that gateways may sit out. */
const SHORTEST_LEAD_MS = 300;
const LONGEST_LEAD_MS = 2_000;
/** Between the kill and the start, in ms. */
const MIN_DOWNTIME_MS = 500;
const MAX_DOWNTIME_MS = 1_500;
/** The trouble ends up to this long before the start or after it, in ms. */
const OVERLAP_MS = 1_500;

/** The store is in trouble; while that lasts, all gateways are killed, and start again before its end or after it. */
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

  /** The course ends by itself. */
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
