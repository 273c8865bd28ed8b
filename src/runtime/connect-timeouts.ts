/**
 * How long attempts to connect to an address may take. A machine without power says nothing, and the operating system asks
 * again only after a second: when a whole fleet starts at once, those that started a little earlier than the others would
 * hear nobody for that second. So the first attempt is short, and each that stays without an answer doubles the time, for
 * networks that are slow.
 */

/** Many times what a connection between zones takes, in ms, and less than half of a heartbeat's pause. */
const INITIAL_TIMEOUT_MS = 200;
const MAX_TIMEOUT_MS = 1_000;

/** See the module's comment. */
export class ConnectTimeouts {
  readonly #timeoutCounts = new Map<string, number>();

  /** Longest time for the next attempt, in ms. */
  timeoutMs(address: string): number {
    return Math.min(MAX_TIMEOUT_MS, INITIAL_TIMEOUT_MS * 2 ** (this.#timeoutCounts.get(address) ?? 0));
  }

  /** An attempt has ended for want of an answer. */
  recordTimeout(address: string): void {
    if (this.timeoutMs(address) < MAX_TIMEOUT_MS)
      this.#timeoutCounts.set(address, (this.#timeoutCounts.get(address) ?? 0) + 1);
  }

  /** An address has answered, be it by a refusal. */
  recordResponse(address: string): void {
    this.#timeoutCounts.delete(address);
  }
}
