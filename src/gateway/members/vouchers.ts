/** The gateways for which one relay vouches. */
export interface RelayVouchers {
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
export class Vouchers {
  readonly #validMs: number;
  /** By the relay's address. */
  readonly #relays = new Map<string, RelayRecord>();

  /** @param validMs how long a relay vouches after its last digest, in ms */
  constructor(validMs: number) {
    this.#validMs = validMs;
  }

  /** A digest of a relay came. */
  refresh(relay: string, nowMs: number): void {
    const record = this.#relays.get(relay);
    if (record) record.digestAtMs = nowMs;
    else this.#relays.set(relay, { digestAtMs: nowMs, instances: new Set() });
  }

  /** This process was paused: what relays sent meanwhile is still to be read. */
  resume(nowMs: number): void {
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
  knows(relay: string): boolean {
    return this.#relays.has(relay);
  }

  /** Whether what a relay vouches for counts now. */
  counts(relay: string, nowMs: number): boolean {
    const record = this.#relays.get(relay);
    return record !== undefined && nowMs - record.digestAtMs < this.#validMs;
  }

  /** The relays whose digests count now. */
  current(nowMs: number): RelayVouchers[] {
    const current: RelayVouchers[] = [];
    for (const [relay, { digestAtMs, instances }] of this.#relays) {
      const untilMs = digestAtMs + this.#validMs;
      if (nowMs < untilMs) current.push({ relay, instances, untilMs });
    }
    return current;
  }
}

interface RelayRecord {
  digestAtMs: number;
  readonly instances: Set<string>;
}
