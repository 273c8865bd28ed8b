import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { SnapshotRelay } from "../../src/coordination/snapshot-relay/index.ts";

describe("snapshot relay", () => {
  const CASES: [string, { digest: string; ageMs: number }, boolean][] = [
    ["requests different content that is fresher", { digest: "b", ageMs: 50 }, true],
    ["does not request different content that is older", { digest: "b", ageMs: 150 }, false],
    ["requests the same content if it was read much later", { digest: "a", ageMs: 10 }, true],
    ["does not request the same content if it was read a little later", { digest: "a", ageMs: 80 }, false],
  ];
  for (const [name, news, expected] of CASES) {
    it(name, () => {
      const relay = new SnapshotRelay(50);
      relay.recordRead("a", 0, 0);
      expect(relay.shouldRequest(news, 100)).toEqual(expected);
    });
  }

  it("ignores a read that is older than the content held", () => {
    const relay = new SnapshotRelay(50);
    relay.recordRead("a", 100, 120);
    expect([relay.isNewer(90), relay.isNewer(101)]).toEqual([false, true]);
    relay.adopt({ digest: "old", ageMs: 500 }, 200, 210);
    expect(relay.digest).toEqual("a");
  });

  it("never underestimates the age of content, however long messages and pauses last", () => {
    const delays = fc.array(fc.nat(5_000), { minLength: 3, maxLength: 3 });
    fc.assert(
      fc.property(fc.array(delays, { minLength: 1, maxLength: 6 }), (hops) => {
        let holder = new SnapshotRelay(10);
        holder.recordRead("a", 1_000, 1_000);
        let nowMs = 1_000;
        for (const [newsMs, questionMs, answerMs] of hops) {
          const next = new SnapshotRelay(10);
          nowMs += newsMs;
          const askedAtMs = nowMs;
          nowMs += questionMs;
          const answer = { digest: holder.digest, ageMs: holder.ageMs(nowMs) };
          nowMs += answerMs;
          next.adopt(answer, askedAtMs, nowMs);
          expect(next.ageMs(nowMs) >= nowMs - 1_000).toEqual(true);
          holder = next;
        }
      }),
      { seed: 5, numRuns: 300 },
    );
  });
});
