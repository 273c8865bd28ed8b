import type { StoreFault } from "../../../standins/platform/row-store-standin.ts";
import { SoakFault } from "./soak-fault.ts";

const KINDS: readonly StoreFault[] = ["busy", "throttled", "silent", "reset", "lostAnswer", "lateWrite"];
const SLOW_MS = 250;
const LATE_MS = 1_500;

/** The store refuses, is silent, loses answers, does writes late, is slow, or forgets its history, for all gateways. */
export class StoreTrouble extends SoakFault {
  override begin(): string {
    const { store } = this.cluster;
    const kind = this.draw<StoreFault | "slow" | "forgetful">([...KINDS, "slow", "forgetful"]);
    if (kind === "slow") store.delayMs = SLOW_MS;
    else if (kind === "forgetful") store.model.compact();
    else store.fault = kind;
    store.lateWriteMs = LATE_MS;
    return kind;
  }

  override end(): void {
    this.cluster.store.fault = "none";
    this.cluster.store.delayMs = 0;
  }
}
