/** Tracks the sequence numbers of each relay's digests to detect lost ones. */
import type { MemberDigest } from "../gateway-messages.ts";

/** Checks that digests arrive without gaps. */
export class DigestSequences {
  /** The sequence number of the next digest, by the relay's address. */
  readonly #expected = new Map<string, number>();
  /** Addresses of relays with a missing digest. */
  readonly #missed = new Set<string>();

  /** Records a digest. Returns false if an earlier one is missing, in which case this one cannot be applied. */
  accept(relay: string, { sequence, whole }: MemberDigest): boolean {
    const isExpected = whole || this.#expected.get(relay) === sequence;
    if (isExpected) {
      this.#expected.set(relay, sequence + 1);
      this.#missed.delete(relay);
    } else this.#missed.add(relay);
    return isExpected;
  }

  /** Returns whether a digest of a relay is missing. */
  hasMissedDigest(relay: string): boolean {
    return this.#missed.has(relay);
  }

  /** Removes a relay. */
  forget(relay: string): void {
    this.#expected.delete(relay);
    this.#missed.delete(relay);
  }
}
