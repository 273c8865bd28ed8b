/**
 * Splits the bytes of a connection into CBOR values. The library provides a stream for this, but in a process that
 * receives many small messages, an object stream behind each socket costs more than decoding the messages.
 */
import { Decoder } from "cbor-x";

const EMPTY = Buffer.alloc(0);
/** Maximum size of an incomplete value. The reader throws when more bytes would be needed. */
const MAX_VALUE_BYTES = 64 * 1024 * 1024;

/** The error that the library throws for bytes that end within a value. */
interface DecodeError {
  readonly incomplete?: boolean;
  /** Position at which the incomplete value starts. */
  readonly lastPosition?: number;
  /** The complete values before it. */
  readonly values?: readonly unknown[];
}

/** Decodes the CBOR values of one connection. */
export class CborReader {
  // Keeps the shapes of objects that the other side has described once.
  readonly #decoder = new Decoder({ structures: [] });
  /** Bytes of a value that is not complete yet. */
  #incomplete: Buffer = EMPTY;

  /** Adds received bytes and returns the values that are complete now. Throws when the bytes are not valid CBOR. */
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
