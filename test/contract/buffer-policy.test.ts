/** Tests how far answers are read ahead, and which callers are cut or refused, when callers read slowly. */
import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { BufferPolicy } from "../../src/scheduling/buffers/buffer-policy.ts";
import type { WaitingCaller } from "../../src/scheduling/buffers/waiting-caller.ts";

const MAX_BYTES = 10_000_000;
const policy = new BufferPolicy(MAX_BYTES);

function caller(heldBytes: number, idleMs: number, holdsRunner = false): WaitingCaller {
  return { heldBytes, idleMs, holdsRunner };
}

const callers = fc.array(
  fc.record({
    heldBytes: fc.integer({ min: 0, max: MAX_BYTES / 4 }),
    idleMs: fc.integer({ min: 0, max: 10_000 }),
    holdsRunner: fc.boolean(),
  }),
);

function heldBytesOf(some: readonly WaitingCaller[]): number {
  return some.reduce((bytes, { heldBytes }) => bytes + heldBytes, 0);
}

describe("buffer policy", () => {
  const cases: readonly [string, WaitingCaller[], number, number[]][] = [
    [
      "cuts no caller while there is room, however long it has been idle",
      [caller(3_000_000, 60_000)],
      3_000_000,
      [],
    ],
    ["cuts no caller that reads, however short memory is", [caller(9_000_000, 1_900)], 9_000_000, []],
    [
      "cuts at once a stalled caller that keeps a runner waiting",
      [caller(1_000, 2_000, true), caller(1_000, 9_000)],
      2_000,
      [0],
    ],
    [
      "cuts the callers that have been idle for longest",
      [caller(3e6, 3_000), caller(3e6, 9_000), caller(3e6, 5_000)],
      9e6,
      [1, 2],
    ],
    ["cuts no more callers than necessary", [caller(4e6, 9_000), caller(4e6, 8_000)], 8e6, [0]],
    [
      "first counts the bytes freed by callers that keep a runner waiting",
      [caller(4e6, 9_000), caller(4e6, 2_000, true)],
      8e6,
      [1],
    ],
  ];
  for (const [name, waiting, heldBytes, cut] of cases)
    it(name, () => {
      expect(policy.callersToCut(waiting, heldBytes)).toEqual(
        cut.map((index) => waiting[index] as WaitingCaller),
      );
    });

  it("cuts only stalled callers, until memory is not short or no stalled caller is left", () => {
    fc.assert(
      fc.property(callers, fc.integer({ min: 0, max: MAX_BYTES }), (waiting, restBytes) => {
        const heldBytes = heldBytesOf(waiting) + restBytes;
        const cut = new Set(policy.callersToCut(waiting, heldBytes));
        for (const { idleMs } of cut) expect(idleMs >= 2_000).toEqual(true);
        const left = waiting.filter((one) => !cut.has(one) && one.idleMs >= 2_000);
        const isShort = heldBytes - heldBytesOf([...cut]) > MAX_BYTES * 0.75;
        expect(isShort && left.length > 0).toEqual(false);
        for (const one of left) expect(one.holdsRunner).toEqual(false);
      }),
    );
  });

  it("reads ahead for many callers without making memory short for new requests", () => {
    let heldBytes = 0;
    for (let index = 0; index < 50; index += 1) {
      const aheadBytes = policy.readAheadBytes(heldBytes);
      expect(aheadBytes >= 32_768).toEqual(true);
      heldBytes += aheadBytes;
    }
    expect(heldBytes < MAX_BYTES / 2).toEqual(true);
    expect(policy.refuses(heldBytes, 1_000_000)).toEqual(false);
  });

  it("refuses a request that does not fit together with its answer", () => {
    expect(policy.refuses(0, 0)).toEqual(false);
    expect(policy.refuses(MAX_BYTES - 100_000, 60_000)).toEqual(false);
    expect(policy.refuses(MAX_BYTES - 100_000, 80_000)).toEqual(true);
    expect(policy.refuses(0, MAX_BYTES)).toEqual(true);
  });
});
