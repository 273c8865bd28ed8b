/**
 * Time-outs of connection attempts, per address. A machine that is powered off does not respond, and the operating
 * system retransmits a SYN only after a second: when a whole fleet starts at once, processes that start slightly earlier
 * than the others would be without connections for that second. The first attempt therefore has a short time-out. Each
 * attempt that times out doubles the next time-out, for slow networks.
 */

/** Many times the connection time between zones, and less than half of the heartbeat interval. */
const INITIAL_TIMEOUT_MS = 200;
const MAX_TIMEOUT_MS = 1_000;

/** Computes the time-out of the next connection attempt to each address. */
export class ConnectTimeouts {
  readonly #timeoutCounts = new Map<string, number>();

  /** Returns the time-out of the next attempt. */
  timeoutMs(address: string): number {
    return Math.min(MAX_TIMEOUT_MS, INITIAL_TIMEOUT_MS * 2 ** (this.#timeoutCounts.get(address) ?? 0));
  }

  /** Records that an attempt timed out. */
  recordTimeout(address: string): void {
    if (this.timeoutMs(address) < MAX_TIMEOUT_MS)
      this.#timeoutCounts.set(address, (this.#timeoutCounts.get(address) ?? 0) + 1);
  }

  /** Records that an address responded, possibly by refusing the connection. */
  recordResponse(address: string): void {
    this.#timeoutCounts.delete(address);
  }
}
