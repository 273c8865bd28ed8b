/**
 * Splits the bytes of a connection into CBOR values. The library provides a stream for this, but in a process that
 * receives many small messages, an object stream behind each socket costs more than decoding the messages. A value that
 * arrives in many pieces is decoded once, when it is complete.
 */
import { Decoder } from "cbor-x";
import { ByteCollector } from "./byte-collector.ts";
import { CborScanner } from "./cbor-scanner.ts";

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
  readonly #incomplete = new ByteCollector();
  #scanner = new CborScanner();

  /** Memory held for a value that is not complete, in bytes. */
  get heldBytes(): number {
    return this.#incomplete.capacity;
  }

  /** Adds received bytes and returns the values that are complete now. Throws when the bytes are not valid CBOR. */
  push(bytes: Buffer): readonly unknown[] {
    if (this.#incomplete.length === 0) return this.#decode(bytes);
    this.#incomplete.push(bytes);
    const all = this.#incomplete.bytes;
    if (this.#scanner.isComplete(all)) {
      this.#incomplete.clear();
      return this.#decode(all);
    }
    if (all.length > MAX_VALUE_BYTES) throw new Error("the value is too large");
    return [];
  }

  /** Decodes bytes that begin with a value, and keeps those of an incomplete one at their end. */
  #decode(bytes: Buffer): readonly unknown[] {
    try {
      return this.#decoder.decodeMultiple(bytes) ?? [];
    } catch (error) {
      const { incomplete, lastPosition = 0, values = [] } = error as DecodeError;
      if (!incomplete || bytes.length - lastPosition > MAX_VALUE_BYTES) throw error;
      this.#incomplete.push(bytes.subarray(lastPosition));
      this.#scanner = new CborScanner();
      this.#scanner.isComplete(this.#incomplete.bytes);
      return values;
    }
  }
}
