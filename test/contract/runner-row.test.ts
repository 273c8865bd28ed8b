/** Which rows of the platform's list are entries of runners. */
import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { platformRecords } from "../../platform/rows.ts";

const NAME = "i-7f3a91c2";
const WHOLE = {
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
  it("names a start by the runner's name and when it was", () => {
    const expected = {
      id: "i-7f3a91c2#1760000000123" as never,
      name: NAME as never,
      startedAtMs: WHOLE.born,
      pool: "pool",
      address: "10.128.0.9:8080",
      zone: "zone-a",
      slots: 6,
      state: "ready",
    } as const;
    expect(parse(WHOLE)).toEqual(expected);
    expect(parse({ ...WHOLE, born: undefined })).toEqual({
      ...expected,
      id: NAME as never,
      startedAtMs: undefined,
    });
    expect(parse({ ...WHOLE, added: { later: [] } })).toEqual(expected);
  });

  const fieldName = fc.constantFrom(...(Object.keys(WHOLE) as (keyof typeof WHOLE)[]));
  /** Of another type than any field of an entry, or out of the range of all. */
  const wrong = fc.oneof(
    fc.constantFrom(null, true, "", -1, {}, []),
    fc.array(fc.jsonValue()),
    fc.dictionary(fc.string(), fc.jsonValue()),
  );

  it("takes no row with a field missing or of another type for an entry", () => {
    fc.assert(
      fc.property(fieldName, wrong, (field, value) => {
        expect(parse({ ...WHOLE, [field]: value })).toEqual(undefined);
        if (field !== "born") expect(parse({ ...WHOLE, [field]: undefined })).toEqual(undefined);
      }),
    );
  });

  it("takes no bytes for an entry that are none, and never throws", () => {
    const whole = Buffer.from(JSON.stringify(WHOLE));
    fc.assert(
      fc.property(fc.uint8Array(), fc.nat(whole.length - 1), (bytes, length) => {
        expect(platformRecords.parseRunner(NAME, Buffer.from(bytes))).toEqual(undefined);
        expect(platformRecords.parseRunner(NAME, whole.subarray(0, length))).toEqual(undefined);
        const spoilt = Buffer.concat([whole.subarray(0, 13), Buffer.from([0xff]), whole.subarray(13)]);
        expect(platformRecords.parseRunner(NAME, spoilt)).toEqual(undefined);
      }),
    );
    fc.assert(fc.property(fc.jsonValue(), (value) => parse(value) === undefined));
  });

  const UNUSABLE: Record<string, unknown>[] = [
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
  for (const change of UNUSABLE) {
    it(`takes no row with ${JSON.stringify(change)} for an entry`, () =>
      expect(parse({ ...WHOLE, ...change })).toEqual(undefined));
  }

  it("takes no row under a name that fits into no header", () => {
    for (const name of ["", "a b", "a\nb", "ä"]) expect(parse(WHOLE, name)).toEqual(undefined);
  });
});
