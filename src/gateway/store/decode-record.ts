import { decode } from "cbor-x";

/** The fields of a decoded record. Their types are not validated. */
export type RecordFields = Readonly<Record<string, unknown>>;

/** Decodes a CBOR record. Returns undefined if the bytes are not valid CBOR or do not hold an object. */
export function decodeRecord(value: Uint8Array): RecordFields | undefined {
  try {
    const decoded: unknown = decode(value);
    return typeof decoded === "object" && decoded !== null ? (decoded as RecordFields) : undefined;
  } catch {
    return undefined;
  }
}
