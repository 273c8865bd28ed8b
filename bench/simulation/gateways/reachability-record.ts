/** Records when faults last kept updates from each gateway of a simulation, to tell which ones must be up to date. */

/** Time after the end of a fault from which a gateway counts as reachable, in ms. */
export const REACHABLE_AFTER_MS = 3_000;
/** Time within which a confirmed configuration must be in force at a reachable gateway, in ms. */
export const APPLY_LIMIT_MS = 2_000;

/** The end of the latest fault of the store and of each gateway. */
export class ReachabilityRecord {
  #storeUntilMs = Number.NEGATIVE_INFINITY;
  /** End of each gateway's latest fault, by the gateway's index. */
  readonly #gatewaysUntilMs = new Map<number, number>();

  /** Records a fault of the store that lasts until `untilMs` of virtual time. */
  recordStoreFault(untilMs: number): void {
    this.#storeUntilMs = Math.max(this.#storeUntilMs, untilMs);
  }

  /** Records a fault of a gateway, or of its path to the store, that lasts until `untilMs` of virtual time. */
  recordGatewayFault(index: number, untilMs: number): void {
    this.#gatewaysUntilMs.set(index, Math.max(this.#troubleUntilMs(index), untilMs));
  }

  /** Whether updates must have reached a gateway. */
  isReachable(index: number, nowMs: number): boolean {
    return nowMs - Math.max(this.#storeUntilMs, this.#troubleUntilMs(index)) >= REACHABLE_AFTER_MS;
  }

  #troubleUntilMs(index: number): number {
    return this.#gatewaysUntilMs.get(index) ?? Number.NEGATIVE_INFINITY;
  }
}
