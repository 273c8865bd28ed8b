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

  /** The relays whose word for a gateway counts now, by address. */
  relaysFor(instance: string, nowMs: number): string[] {
    const relays: string[] = [];
    for (const [relay, { digestAtMs, instances }] of this.#relays) {
      if (nowMs - digestAtMs < this.#validMs && instances.has(instance)) relays.push(relay);
    }
    return relays;
  }
}

interface RelayWord {
  digestAtMs: number;
  readonly instances: Set<string>;
}
