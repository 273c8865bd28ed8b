/** Collects pieces of bytes in one buffer that grows as needed, so that many small pieces cost no more than one large one. */

const MIN_CAPACITY_BYTES = 256;
const NO_BYTES = Buffer.alloc(0);

export class ByteCollector {
  #buffer: Buffer = NO_BYTES;
  #length = 0;

  /** The number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  /** The size of the buffer, in bytes: the memory that the collected bytes use. */
  get capacity(): number {
    return this.#buffer.length;
  }

  /** The bytes collected so far. They are not overwritten by later ones. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  push(piece: Buffer): void {
    const length = this.#length + piece.length;
    if (length > this.#buffer.length) this.#grow(length);
    piece.copy(this.#buffer, this.#length);
    this.#length = length;
  }

  /** Starts anew. Buffers that were returned stay as they are. */
  clear(): void {
    this.#buffer = NO_BYTES;
    this.#length = 0;
  }

  #grow(length: number): void {
    const buffer = Buffer.allocUnsafeSlow(Math.max(MIN_CAPACITY_BYTES, 2 * this.#buffer.length, length));
    this.#buffer.copy(buffer, 0, 0, this.#length);
    this.#buffer = buffer;
  }
}
