import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { ConfigurationChain } from "../../src/coordination/configuration-chain/index.ts";

function entry(version: number) {
  return { version, key: `key-${version % 3}`, content: `content ${version}` };
}

describe("configuration chain", () => {
  it("appends entries only in order", () => {
    const chain = new ConfigurationChain();
    expect(chain.extend([entry(2)])).toEqual([]);
    expect(chain.extend([entry(1), entry(3), entry(2)]).map(({ version }) => version)).toEqual([1, 2]);
    expect(chain.version).toEqual(2);
  });

  it("never reverts, whatever the order of entries and however often they arrive", () => {
    fc.assert(
      fc.property(
        fc.array(fc.array(fc.integer({ min: 1, max: 12 }), { maxLength: 6 }), { maxLength: 30 }),
        (batches) => {
          const chain = new ConfigurationChain();
          for (const batch of batches) {
            const before = chain.version;
            chain.extend(batch.map(entry));
            expect(chain.version >= before).toEqual(true);
            const newest = Array.from({ length: chain.version }, (_, index) => index + 1)
              .filter((v) => v % 3 === 0)
              .at(-1);
            expect(chain.get("key-0")?.version).toEqual(newest);
          }
        },
      ),
      { seed: 3, numRuns: 200 },
    );
  });
});
