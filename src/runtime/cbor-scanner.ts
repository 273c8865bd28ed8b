/**
 * Finds the end of a CBOR value (RFC 8949, section 3) in bytes that arrive in pieces. Looks at each part of the value once, and
 * skips the content of strings.
 */

const MAJOR_TYPE_SHIFT = 5;
const ARGUMENT_MASK = 0x1f;
/** Values of the argument's five bits below which they are the argument itself. */
const FIRST_LONG_ARGUMENT = 24;
const INDEFINITE = 31;
const MAJOR_TYPES = { byteString: 2, textString: 3, array: 4, map: 5, tag: 6, simple: 7 } as const;
/** Most values within values. */
const MAX_DEPTH = 256;

export class CborScanner {
  /** How many items each array, map or tag still needs, the innermost last; infinite if a break ends it. */
  readonly #missing: number[] = [];
  #at = 0;

  /** Scans on. `bytes` begins with the value, and is longer each time. Returns whether the value is complete. Throws if it can't be one. */
  isComplete(bytes: Buffer): boolean {
    while (this.#at < bytes.length) {
      const initial = bytes[this.#at] as number;
      const long = (initial & ARGUMENT_MASK) - FIRST_LONG_ARGUMENT;
      const argumentBytes = long < 0 || long > 3 ? 0 : 2 ** long;
      const contentAt = this.#at + 1 + argumentBytes;
      if (contentAt > bytes.length) return false;
      const argument = argumentOf(bytes, this.#at, argumentBytes);
      const isString = isStringType(initial >> MAJOR_TYPE_SHIFT) && argument !== undefined;
      const end = isString ? contentAt + argument : contentAt;
      if (end > bytes.length) return false;
      this.#at = end;
      if (this.#endsValue(initial >> MAJOR_TYPE_SHIFT, argument)) return true;
    }
    return false;
  }

  /** Records an item. Returns whether the value is complete with it. */
  #endsValue(majorType: number, argument: number | undefined): boolean {
    const contained = containedItems(majorType, argument);
    if (contained > 0) {
      if (this.#missing.length === MAX_DEPTH) throw new Error("the value has too many levels");
      this.#missing.push(contained);
      return false;
    }
    const isBreak = majorType === MAJOR_TYPES.simple && argument === undefined;
    if (isBreak && this.#missing.pop() !== Number.POSITIVE_INFINITY) throw new Error("an unexpected break");
    while (this.#missing.length > 0) {
      const left = (this.#missing.pop() as number) - 1;
      if (left === 0) continue;
      this.#missing.push(left);
      return false;
    }
    return true;
  }
}

function isStringType(majorType: number): boolean {
  return majorType === MAJOR_TYPES.byteString || majorType === MAJOR_TYPES.textString;
}

/** The argument of the item at `at`; undefined if the item has none, because its length is indefinite or it is a break. */
function argumentOf(bytes: Buffer, at: number, argumentBytes: number): number | undefined {
  if (argumentBytes === 8) return Number(bytes.readBigUInt64BE(at + 1));
  if (argumentBytes > 0) return bytes.readUIntBE(at + 1, argumentBytes);
  const argument = (bytes[at] as number) & ARGUMENT_MASK;
  return argument === INDEFINITE ? undefined : argument;
}

/** The number of items that an item contains. */
function containedItems(majorType: number, argument: number | undefined): number {
  switch (majorType) {
    case MAJOR_TYPES.array:
      return argument ?? Number.POSITIVE_INFINITY;
    case MAJOR_TYPES.map:
      return argument === undefined ? Number.POSITIVE_INFINITY : 2 * argument;
    case MAJOR_TYPES.tag:
      return 1;
    case MAJOR_TYPES.byteString:
    case MAJOR_TYPES.textString:
      return argument === undefined ? Number.POSITIVE_INFINITY : 0;
    default:
      return 0;
  }
}
