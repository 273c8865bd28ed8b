/** Which digest of each relay is due next, so that a lost one is noticed. */
import type { MemberDigest } from "../gateway-messages.ts";

/** See the module's comment. */
export class DigestSequences {
  /** By the relay's address. */
  readonly #expected = new Map<string, number>();
  readonly #missed = new Set<string>();

  /** Takes in a digest; false when one before it is missing, so that it cannot be used. */
  accept(relay: string, { sequence, whole }: MemberDigest): boolean {
    const isExpected = whole || this.#expected.get(relay) === sequence;
    if (isExpected) {
      this.#expected.set(relay, sequence + 1);
      this.#missed.delete(relay);
    } else this.#missed.add(relay);
    return isExpected;
  }

  /** Whether a digest of a relay is missing. */
  hasMissedDigest(relay: string): boolean {
    return this.#missed.has(relay);
  }

  /** Forgets a relay. */
  forget(relay: string): void {
    this.#expected.delete(relay);
    this.#missed.delete(relay);
  }
}
