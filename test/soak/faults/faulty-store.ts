import type { StoreFault } from "../../../standins/platform/row-store-standin.ts";
import { SoakFault } from "./soak-fault.ts";

const KINDS: readonly StoreFault[] = ["busy", "throttled", "silent", "reset", "lostAnswer", "lateWrite"];
const SLOW_MS = 250;
const LATE_MS = 1_500;
/** What of the store's trouble lasts: all but the forgotten history. */
const PERSISTENT_KINDS = [...KINDS, "slow", "silentParts"] as const;

/**
 * The store refuses, is silent as a whole or in some of its parts, loses answers, does writes late, is slow, or forgets
 * its history, for all gateways.
 */
export class FaultyStore extends SoakFault {
  override begin(): string {
    return this.#begin(this.draw([...PERSISTENT_KINDS, "forgetful"] as const));
  }

  /** Begins trouble that lasts until it is ended. */
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

  /** At least one part falls silent, and one is left. */
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
