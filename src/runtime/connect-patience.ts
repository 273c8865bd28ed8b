/**
 * How long attempts to connect to an address may take. A machine without power says nothing, and the operating system asks
 * again only after a second: when a whole fleet starts at once, those that started a little earlier than the others would
 * hear nobody for that second. So the first attempt is short, and each that stays without an answer doubles the time, for
 * networks that are slow.
 */

/** Many times what a connection between zones takes, in ms, and less than half of a heartbeat's pause. */
const FIRST_MS = 200;
const MOST_MS = 1_000;

/** See the module's comment. */
export class ConnectPatience {
  readonly #unanswered = new Map<string, number>();

  /** Longest time for the next attempt, in ms. */
  limitMs(address: string): number {
    return Math.min(MOST_MS, FIRST_MS * 2 ** (this.#unanswered.get(address) ?? 0));
  }

  /** An attempt has ended for want of an answer. */
  noteUnanswered(address: string): void {
    if (this.limitMs(address) < MOST_MS)
      this.#unanswered.set(address, (this.#unanswered.get(address) ?? 0) + 1);
  }

  /** An address has answered, be it by a refusal. */
  noteAnswer(address: string): void {
    this.#unanswered.delete(address);
  }
}
