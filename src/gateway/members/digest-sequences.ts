/** Which digest of each relay is due next, so that a lost one is noticed. */
import type { MemberDigest } from "../gateway-messages.ts";

/** See the module's comment. */
export class DigestSequences {
  /** By the relay's address. */
  readonly #due = new Map<string, number>();
  readonly #missed = new Set<string>();

  /** Takes in a digest; false when one before it is missing, so that it cannot be used. */
  accept(relay: string, { sequence, whole }: MemberDigest): boolean {
    const isDue = whole || this.#due.get(relay) === sequence;
    if (isDue) {
      this.#due.set(relay, sequence + 1);
      this.#missed.delete(relay);
    } else this.#missed.add(relay);
    return isDue;
  }

  /** Whether a digest of a relay is missing. */
  missed(relay: string): boolean {
    return this.#missed.has(relay);
  }

  /** Forgets a relay. */
  forget(relay: string): void {
    this.#due.delete(relay);
    this.#missed.delete(relay);
  }
}
