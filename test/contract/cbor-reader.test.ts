/** Values that arrive in pieces, as the bytes of a connection do. */
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

/** The bytes of the values, as a connection sends them. */
function encodeValues(): Buffer {
  const encoder = new Encoder({ sequential: true, structures: [] });
  return Buffer.concat(VALUES.map((value) => Buffer.from(encoder.encode(value))));
}

describe("value reader", () => {
  it("gives the same values wherever the bytes are cut", () => {
    const bytes = encodeValues();
    for (let cut = 0; cut <= bytes.length; cut += 1) {
      const reader = new CborReader();
      const values = [...reader.push(bytes.subarray(0, cut)), ...reader.push(bytes.subarray(cut))];
      expect(values).toEqual(VALUES);
    }
  });

  it("puts a value together from single bytes", () => {
    const reader = new CborReader();
    const values = [...encodeValues()].flatMap((byte) => reader.push(Buffer.from([byte])));
    expect(values).toEqual(VALUES);
  });

  it("throws at bytes that are no value", () => {
    expect(() => new CborReader().push(Buffer.from([0xff, 0xff, 0x1c]))).toThrow();
  });
});
