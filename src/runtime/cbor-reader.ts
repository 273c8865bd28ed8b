/**
 * Cuts the bytes of a connection into CBOR values. The library has a stream for it; an object stream behind each socket
 * costs a process that gets many small messages more than decoding them does.
 */
import { Decoder } from "cbor-x";

const EMPTY = Buffer.alloc(0);
/** Longest value, in bytes; more is not waited for. */
const MAX_VALUE_BYTES = 64 * 1024 * 1024;

/** What the library says of bytes that end within a value. */
interface DecodeError {
  readonly incomplete?: boolean;
  /** Where the value begins that is not whole. */
  readonly lastPosition?: number;
  /** Those before it. */
  readonly values?: readonly unknown[];
}

/** See the module's comment. */
export class CborReader {
  // Shapes of objects that the other side has described once.
  readonly #decoder = new Decoder({ structures: [] });
  /** Bytes of a value that is not whole yet. */
  #incomplete: Buffer = EMPTY;

  /** Takes in bytes; returns the values that are whole now. Throws when they are no values. */
  push(bytes: Buffer): readonly unknown[] {
    const all = this.#incomplete.length === 0 ? bytes : Buffer.concat([this.#incomplete, bytes]);
    this.#incomplete = EMPTY;
    try {
      return this.#decoder.decodeMultiple(all) ?? [];
    } catch (error) {
      const { incomplete, lastPosition = 0, values = [] } = error as DecodeError;
      if (!incomplete || all.length - lastPosition > MAX_VALUE_BYTES) throw error;
      this.#incomplete = all.subarray(lastPosition);
      return values;
    }
  }
}
