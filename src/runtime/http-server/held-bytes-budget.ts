/** Limits the bytes that all connections of a server hold of what they have received and not processed yet. */

/** Bytes that a connection may hold although the others hold too many: about one ordinary request. */
const MIN_CONNECTION_BYTES = 8_192;

export class HeldBytesBudget {
  readonly #maxBytes: number;
  #heldBytes = 0;

  /** @param maxBytes maximum for all connections together, apart from small amounts */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes held by all connections. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Counts a change of what one connection holds. */
  change(fromBytes: number, toBytes: number): void {
    this.#heldBytes += toBytes - fromBytes;
  }

  /** Whether a connection that holds this much must be closed. */
  isExceededBy(connectionBytes: number): boolean {
    return this.#heldBytes > this.#maxBytes && connectionBytes > MIN_CONNECTION_BYTES;
  }
}
