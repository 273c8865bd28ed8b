import type { StoreFault } from "../../../standins/platform/row-store-standin.ts";
import { SoakFault } from "./soak-fault.ts";

const KINDS: readonly StoreFault[] = ["busy", "throttled", "silent", "reset", "lostAnswer", "lateWrite"];
const SLOW_MS = 250;
const LATE_MS = 1_500;
/** Kinds that last until they are ended: all but the loss of the store's history. */
const PERSISTENT_KINDS = [...KINDS, "slow", "silentParts"] as const;

/**
 * Makes the store fail for all gateways: it refuses requests, does not respond as a whole or for some of its parts,
 * resets connections, loses answers, applies writes late, is slow, or drops its history.
 */
export class FaultyStore extends SoakFault {
  override begin(): string {
    return this.#begin(this.draw([...PERSISTENT_KINDS, "forgetful"] as const));
  }

  /** Begins a fault that lasts until it is ended. */
  beginPersistent(): string {
    return this.#begin(this.draw(PERSISTENT_KINDS));
  }

  override end(): void {
    const { store } = this.cluster;
    store.fault = "none";
    store.delayMs = 0;
    store.partFaults.clear();
  }

  #begin(kind: (typeof PERSISTENT_KINDS)[number] | "forgetful"): string {
    const { store } = this.cluster;
    store.lateWriteMs = LATE_MS;
    if (kind === "silentParts") return this.#silenceParts();
    if (kind === "slow") store.delayMs = SLOW_MS;
    else if (kind === "forgetful") store.model.compact();
    else store.fault = kind;
    return kind;
  }

  /** Makes at least one part of the store unresponsive, but not all of them if there are several. */
  #silenceParts(): string {
    const { store } = this.cluster;
    const names = store.model.parts();
    const count = 1 + this.random.below(Math.max(1, names.length - 1));
    const first = this.random.below(names.length);
    const silent = names.map((_, index) => names[(first + index) % names.length] ?? "").slice(0, count);
    for (const name of silent) store.partFaults.set(name, "silent");
    return `silentParts ${silent.map((name) => JSON.stringify(name)).join(" ")}`;
  }
}
