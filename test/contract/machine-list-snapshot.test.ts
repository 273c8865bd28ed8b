import { before, describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { MachineListSnapshot } from "../../src/node/runners/machine-list-snapshot.ts";
import type { Machine } from "../../src/ports/machine-list/machine-list.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

function machine(index: number, state: Machine["state"]): Machine {
  return {
    name: `m${index}`,
    kind: "node",
    pool: "",
    zone: "z",
    address: `10.0.0.${index}:1`,
    incarnation: "1",
    state,
    models: [],
    slots: 0,
    kvTokens: 0,
  };
}

describe("machine list snapshot", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  it("has a digest that depends only on its machines, not on the changes that produced it", () => {
    const list = fc.uniqueArray(fc.nat(9), { maxLength: 10 });
    fc.assert(
      fc.property(list, list, list, (start, target, leaving) => {
        const whole = (indexes: readonly number[]) => {
          const put = indexes.map((index) => machine(index, leaving.includes(index) ? "leaving" : "live"));
          return MachineListSnapshot.EMPTY.withChanges({ whole: true, put, removed: [] }, hash);
        };
        const from = MachineListSnapshot.EMPTY.withChanges(
          { whole: true, put: start.map((index) => machine(index, "live")), removed: [] },
          hash,
        );
        const to = whole(target);
        const reached = from.withChanges(to.changesFrom(from), hash);
        expect(reached.digest).toEqual(to.digest);
        expect(new Set(reached.machines.keys())).toEqual(new Set(to.machines.keys()));
        const same = reached.digest === from.digest;
        expect(same).toEqual(
          Object.keys(to.changesFrom(from).put).length === 0 && to.changesFrom(from).removed.length === 0,
        );
      }),
      { seed: 9, numRuns: 200 },
    );
  });
});
