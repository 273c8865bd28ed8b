/** The gateways that one relay reports as alive. */
export interface RelayEvidence {
  /** The relay's address. */
  readonly relay: string;
  /** Incarnations whose heartbeats it receives. */
  readonly instances: ReadonlySet<string>;
  /** Until when the report is valid if no further digest arrives, in ms of the monotonic clock. */
  readonly untilMs: number;
}

/**
 * Tracks which gateways the relays report as alive. A report is valid only while the relay keeps sending digests, because a
 * gateway that is no longer a relay does not withdraw its reports.
 */
export class RelayedLiveness {
  readonly #validityMs: number;
  /** By the relay's address. */
  readonly #relays = new Map<string, RelayRecord>();

  /** @param validityMs how long a relay's reports are valid after its last digest, in ms */
  constructor(validityMs: number) {
    this.#validityMs = validityMs;
  }

  /** Records that a digest of a relay has arrived. */
  recordDigest(relay: string, nowMs: number): void {
    const record = this.#relays.get(relay);
    if (record) record.digestAtMs = nowMs;
    else this.#relays.set(relay, { digestAtMs: nowMs, instances: new Set() });
  }

  /**
   * Records a pause of this process. Digests that arrived during the pause have not been read yet, so every relay's reports
   * get the full validity again.
   */
  recordOwnPause(nowMs: number): void {
    for (const record of this.#relays.values()) record.digestAtMs = nowMs;
  }

  /** Records that a relay hears a gateway. */
  add(relay: string, instance: string): void {
    this.#relays.get(relay)?.instances.add(instance);
  }

  /** Records that a relay no longer hears a gateway. */
  remove(relay: string, instance: string): void {
    this.#relays.get(relay)?.instances.delete(instance);
  }

  /** Removes a relay with all its reports. */
  clear(relay: string): void {
    this.#relays.delete(relay);
  }

  /** Returns whether a digest of the relay has arrived. */
  hasDigestFrom(relay: string): boolean {
    return this.#relays.has(relay);
  }

  /** Returns whether a relay's reports are valid now. */
  isValid(relay: string, nowMs: number): boolean {
    const record = this.#relays.get(relay);
    return record !== undefined && nowMs - record.digestAtMs < this.#validityMs;
  }

  /** Returns the reports that are valid now, by relay. */
  validEvidence(nowMs: number): RelayEvidence[] {
    const evidence: RelayEvidence[] = [];
    for (const [relay, { digestAtMs, instances }] of this.#relays) {
      const untilMs = digestAtMs + this.#validityMs;
      if (nowMs < untilMs) evidence.push({ relay, instances, untilMs });
    }
    return evidence;
  }
}

interface RelayRecord {
  digestAtMs: number;
  readonly instances: Set<string>;
}
