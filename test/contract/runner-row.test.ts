/** Tests which rows of the platform's runner table are accepted as entries of runners. */

import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { platformRecords } from "../../platform/platform-records.ts";

const NAME = "i-7f3a91c2";
const VALID_ROW = {
  service: "pool",
  address: "10.128.0.9:8080",
  zone: "zone-a",
  version: "v1",
  slots: 6,
  state: "ready",
  "cold-remaining-ms": 0,
  sequence: 4,
  born: 1_760_000_000_123,
};
const parse = (row: unknown, name = NAME) =>
  platformRecords.parseRunner(name, Buffer.from(JSON.stringify(row)));

describe("rows of runners", () => {
  it("identifies a start of a runner by its name and its start time", () => {
    const expected = {
      id: "i-7f3a91c2#1760000000123" as never,
      name: NAME as never,
      startedAtMs: VALID_ROW.born,
      pool: "pool",
      address: "10.128.0.9:8080",
      zone: "zone-a",
      version: "v1" as never,
      slots: 6,
      state: "ready",
    } as const;
    expect(parse(VALID_ROW)).toEqual(expected);
    expect(parse({ ...VALID_ROW, born: undefined })).toEqual({
      ...expected,
      id: NAME as never,
      startedAtMs: undefined,
    });
    expect(parse({ ...VALID_ROW, added: { later: [] } })).toEqual(expected);
  });

  const fieldName = fc.constantFrom(...(Object.keys(VALID_ROW) as (keyof typeof VALID_ROW)[]));
  /** A value of a type that no field of an entry has, or outside the range of every field. */
  const invalidValue = fc.oneof(
    fc.constantFrom(null, true, "", -1, {}, []),
    fc.array(fc.jsonValue()),
    fc.dictionary(fc.string(), fc.jsonValue()),
  );

  it("rejects a row with a field that is missing or of another type", () => {
    fc.assert(
      fc.property(fieldName, invalidValue, (field, value) => {
        expect(parse({ ...VALID_ROW, [field]: value })).toEqual(undefined);
        if (field !== "born") expect(parse({ ...VALID_ROW, [field]: undefined })).toEqual(undefined);
      }),
    );
  });

  it("rejects bytes that are not an entry, and never throws", () => {
    const validBytes = Buffer.from(JSON.stringify(VALID_ROW));
    fc.assert(
      fc.property(fc.uint8Array(), fc.nat(validBytes.length - 1), (bytes, length) => {
        expect(platformRecords.parseRunner(NAME, Buffer.from(bytes))).toEqual(undefined);
        expect(platformRecords.parseRunner(NAME, validBytes.subarray(0, length))).toEqual(undefined);
        const invalidUtf8 = Buffer.concat([
          validBytes.subarray(0, 13),
          Buffer.from([0xff]),
          validBytes.subarray(13),
        ]);
        expect(platformRecords.parseRunner(NAME, invalidUtf8)).toEqual(undefined);
      }),
    );
    fc.assert(fc.property(fc.jsonValue(), (value) => parse(value) === undefined));
  });

  const INVALID_CHANGES: Record<string, unknown>[] = [
    { address: "10.128.0.9" },
    { address: "10.128.0.9:0" },
    { address: "10.128.0.9:65536" },
    { address: "10.128.0.256:80" },
    { address: "runner.example:80" },
    { address: "10.128.0.9:80/path" },
    { state: "asleep" },
    { slots: 0 },
    { slots: 1.5 },
    { slots: "6" },
    { born: 1.5 },
    { born: "1760000000123" },
  ];
  for (const change of INVALID_CHANGES) {
    it(`rejects a row with ${JSON.stringify(change)}`, () =>
      expect(parse({ ...VALID_ROW, ...change })).toEqual(undefined));
  }

  it("rejects a row whose name is not allowed in a header", () => {
    for (const name of ["", "a b", "a\nb", "ä"]) expect(parse(VALID_ROW, name)).toEqual(undefined);
  });
});
