/** What one relay says. */
export interface RelayVouchers {
  /** The relay's address. */
  readonly relay: string;
  /** Incarnations that it hears. */
  readonly instances: ReadonlySet<string>;
  /** Until when its word counts if no further digest comes, in ms of the monotonic clock. */
  readonly untilMs: number;
}

/**
 * Which relays say that they hear which gateways. A word counts for as long as its relay goes on sending digests: one
 * that has stopped being a relay takes nothing back any more.
 */
export class Vouchers {
  readonly #validMs: number;
  /** By the relay's address. */
  readonly #relays = new Map<string, RelayWord>();

  /** @param validMs how long what a relay has said counts after its last digest, in ms */
  constructor(validMs: number) {
    this.#validMs = validMs;
  }

  /** A digest of a relay came. */
  refresh(relay: string, nowMs: number): void {
    const word = this.#relays.get(relay);
    if (word) word.digestAtMs = nowMs;
    else this.#relays.set(relay, { digestAtMs: nowMs, instances: new Set() });
  }

  /** This process stood still: what relays sent meanwhile is still to be read. */
  resume(nowMs: number): void {
    for (const word of this.#relays.values()) word.digestAtMs = nowMs;
  }

  /** A relay says that it hears a gateway. */
  add(relay: string, instance: string): void {
    this.#relays.get(relay)?.instances.add(instance);
  }

  /** A relay no longer hears a gateway. */
  remove(relay: string, instance: string): void {
    this.#relays.get(relay)?.instances.delete(instance);
  }

  /** Drops everything that a relay has said. */
  clear(relay: string): void {
    this.#relays.delete(relay);
  }

  /** Whether a relay has said anything yet. */
  knows(relay: string): boolean {
    return this.#relays.has(relay);
  }

  /** Whether the word of a relay counts now. */
  counts(relay: string, nowMs: number): boolean {
    const word = this.#relays.get(relay);
    return word !== undefined && nowMs - word.digestAtMs < this.#validMs;
  }

  /** The relays whose word counts now. */
  current(nowMs: number): RelayVouchers[] {
    const current: RelayVouchers[] = [];
    for (const [relay, { digestAtMs, instances }] of this.#relays) {
      const untilMs = digestAtMs + this.#validMs;
      if (nowMs < untilMs) current.push({ relay, instances, untilMs });
    }
    return current;
  }
}

interface RelayWord {
  digestAtMs: number;
  readonly instances: Set<string>;
}
