/** Tests of reading CBOR values that arrive in parts, as the bytes of a connection do. */
import { describe, it } from "node:test";
import { Encoder } from "cbor-x";
import { expect } from "earl";
import { CborReader } from "../../src/runtime/cbor-reader.ts";

const VALUES = [
  { type: "heartbeat", owned: [[1, 70_000]], name: "one", load: 0.5, text: "ä".repeat(40) },
  {
    type: "rpcRequest",
    id: 4_000_000_000,
    body: { input: Buffer.from("x".repeat(300)), nested: { a: null } },
  },
  { type: "heartbeat", owned: [], name: "two", load: 1e300, text: "" },
];

/** Encodes the values as a connection sends them. */
function encodeValues(): Buffer {
  const encoder = new Encoder({ sequential: true, structures: [] });
  return Buffer.concat(VALUES.map((value) => Buffer.from(encoder.encode(value))));
}

describe("CBOR reader", () => {
  it("returns the same values wherever the bytes are split", () => {
    const bytes = encodeValues();
    for (let cut = 0; cut <= bytes.length; cut += 1) {
      const reader = new CborReader();
      const values = [...reader.push(bytes.subarray(0, cut)), ...reader.push(bytes.subarray(cut))];
      expect(values).toEqual(VALUES);
    }
  });

  it("assembles a value from single bytes", () => {
    const reader = new CborReader();
    const values = [...encodeValues()].flatMap((byte) => reader.push(Buffer.from([byte])));
    expect(values).toEqual(VALUES);
  });

  it("throws for bytes that are not a value", () => {
    expect(() => new CborReader().push(Buffer.from([0xff, 0xff, 0x1c]))).toThrow();
  });
});
