import { decode } from "cbor-x";

/** The fields of a record as it was decoded, none of them checked. */
export type RecordFields = Readonly<Record<string, unknown>>;

/** The record that bytes hold; undefined when they hold none. */
export function decodeRecord(value: Uint8Array): RecordFields | undefined {
  try {
    const decoded: unknown = decode(value);
    return typeof decoded === "object" && decoded !== null ? (decoded as RecordFields) : undefined;
  } catch {
    return undefined;
  }
}
