/** When trouble last kept news from each gateway of a simulation, so that it is known which of them news must have reached. */

/** From the end of trouble on, a gateway counts as reached by news after this time, in ms. */
export const REACHABLE_AFTER_MS = 3_000;
/** A confirmed configuration is in force after this time, in ms, where it is reached. */
export const APPLY_LIMIT_MS = 2_000;

/** See the module's comment. */
export class ReachabilityRecord {
  #storeUntilMs = Number.NEGATIVE_INFINITY;
  /** By the gateways' indexes. */
  readonly #gatewaysUntilMs = new Map<number, number>();

  /** The store is in trouble until then, in ms of virtual time. */
  recordStoreFault(untilMs: number): void {
    this.#storeUntilMs = Math.max(this.#storeUntilMs, untilMs);
  }

  /** A gateway, or its path to the store, is in trouble until then, in ms of virtual time. */
  recordGatewayFault(index: number, untilMs: number): void {
    this.#gatewaysUntilMs.set(index, Math.max(this.#troubleUntilMs(index), untilMs));
  }

  /** Whether news must have reached a gateway. */
  isReachable(index: number, nowMs: number): boolean {
    return nowMs - Math.max(this.#storeUntilMs, this.#troubleUntilMs(index)) >= REACHABLE_AFTER_MS;
  }

  #troubleUntilMs(index: number): number {
    return this.#gatewaysUntilMs.get(index) ?? Number.NEGATIVE_INFINITY;
  }
}
