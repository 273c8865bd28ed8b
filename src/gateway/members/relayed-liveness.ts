/** The gateways for which one relay vouches. */
export interface RelayEvidence {
  /** The relay's address. */
  readonly relay: string;
  /** Incarnations that it hears. */
  readonly instances: ReadonlySet<string>;
  /** Until when that counts if no further digest comes, in ms of the monotonic clock. */
  readonly untilMs: number;
}

/**
 * Which relays vouch for which gateways: they say that they hear them. That counts for as long as a relay goes on sending
 * digests; one that has stopped being a relay withdraws nothing any more.
 */
export class RelayedLiveness {
  readonly #validityMs: number;
  /** By the relay's address. */
  readonly #relays = new Map<string, RelayRecord>();

  /** @param validityMs how long a relay vouches after its last digest, in ms */
  constructor(validityMs: number) {
    this.#validityMs = validityMs;
  }

  /** A digest of a relay came. */
  recordDigest(relay: string, nowMs: number): void {
    const record = this.#relays.get(relay);
    if (record) record.digestAtMs = nowMs;
    else this.#relays.set(relay, { digestAtMs: nowMs, instances: new Set() });
  }

  /** This process was paused: what relays sent meanwhile is still to be read. */
  recordOwnPause(nowMs: number): void {
    for (const record of this.#relays.values()) record.digestAtMs = nowMs;
  }

  /** A relay says that it hears a gateway. */
  add(relay: string, instance: string): void {
    this.#relays.get(relay)?.instances.add(instance);
  }

  /** A relay no longer hears a gateway. */
  remove(relay: string, instance: string): void {
    this.#relays.get(relay)?.instances.delete(instance);
  }

  /** Drops everything that is known from a relay. */
  clear(relay: string): void {
    this.#relays.delete(relay);
  }

  /** Whether a digest of the relay has come yet. */
  hasDigestFrom(relay: string): boolean {
    return this.#relays.has(relay);
  }

  /** Whether what a relay vouches for counts now. */
  isValid(relay: string, nowMs: number): boolean {
    const record = this.#relays.get(relay);
    return record !== undefined && nowMs - record.digestAtMs < this.#validityMs;
  }

  /** The relays whose digests count now. */
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
