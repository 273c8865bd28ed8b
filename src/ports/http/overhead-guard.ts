/**
 * Limits what a server may send besides the bodies of its answers: heads, interim answers, chunk sizes and their extensions,
 * trailers. The HTTP client bounds only some of them, and reads the others for as long as they come.
 */

/** Bytes besides the body that any answer may have. One more read of the connection may come before the limit counts. */
const MAX_OVERHEAD_BYTES = 65_536;
/** Further such bytes for each byte of the body: chunks may be small. */
const OVERHEAD_PER_BODY_BYTE = 4;

/** Counts the bytes of the answer that arrives on one connection. */
export class OverheadGuard {
  #readBytes = 0;
  #bodyBytes = 0;

  /** Whether the answer has too many bytes besides its body. */
  get exceedsLimit(): boolean {
    const overhead = this.#readBytes - this.#bodyBytes;
    return overhead > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * this.#bodyBytes;
  }

  /** Starts to count anew. */
  reset(): void {
    this.#readBytes = 0;
    this.#bodyBytes = 0;
  }

  addRead(bytes: number): void {
    this.#readBytes += bytes;
  }

  addBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }
}
