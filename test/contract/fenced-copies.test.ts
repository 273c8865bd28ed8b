/** Copies of records that a replica holds for the owners of partitions. */
import { beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { FencedCopies, majorityOf } from "../../src/coordination/fenced-copies/index.ts";

const PARTITION = 3;
const MAX_BYTES = 100;
const FIRST = { epoch: 10, owner: "first" };
const SECOND = { epoch: 20, owner: "second" };

function copy(key: string, text: string, bytes = 1) {
  return { key, bytes, copy: text };
}

let held: FencedCopies<string>;

describe("fenced copies", () => {
  beforeEach(() => {
    held = new FencedCopies(MAX_BYTES);
  });

  it("returns the previous owner's copies to a new owner, and refuses further appends of the previous one", () => {
    expect(held.append(PARTITION, FIRST, 1, [copy("a", "one"), copy("b", "two")])).toEqual("kept");
    expect(held.seal(PARTITION, SECOND)).toEqual(["one", "two"]);
    expect(held.append(PARTITION, FIRST, 2, [copy("a", "three")])).toEqual("fenced");
    expect(held.append(PARTITION, SECOND, 1, [copy("a", "four")])).toEqual("kept");
  });

  it("is sealed by only one of two owners that claim the same epoch", () => {
    expect(held.seal(PARTITION, { epoch: 10.5, owner: "a" })).toEqual([]);
    expect(held.seal(PARTITION, { epoch: 10.5, owner: "b" })).toEqual(undefined);
    expect(held.seal(PARTITION, { epoch: 10.5, owner: "a" })).toEqual([]);
  });

  it("keeps the newer copy of a record when appends arrive out of order", () => {
    held.append(PARTITION, FIRST, 2, [copy("a", "new")]);
    held.append(PARTITION, FIRST, 1, [copy("a", "old")]);
    expect(held.find("a")).toEqual("new");
  });

  it("removes copies that are in the store, and keeps later ones", () => {
    held.append(PARTITION, FIRST, 1, [copy("a", "one")]);
    held.append(PARTITION, FIRST, 2, [copy("b", "two")]);
    held.drop(PARTITION, FIRST.epoch, 1);
    expect([held.find("a"), held.find("b")]).toEqual([undefined, "two"]);
  });

  it("removes the copies of earlier owners together with those of a later one", () => {
    held.append(PARTITION, FIRST, 5, [copy("a", "one")]);
    held.drop(PARTITION, SECOND.epoch, 0);
    expect(held.find("a")).toEqual(undefined);
    expect(held.bytes).toEqual(0);
  });

  it("adds no copy of an append that doesn't fit", () => {
    expect(held.append(PARTITION, FIRST, 1, [copy("a", "one", 60)])).toEqual("kept");
    expect(held.append(PARTITION, FIRST, 2, [copy("b", "two", 30), copy("c", "three", 30)])).toEqual("full");
    expect(held.find("b")).toEqual(undefined);
    held.drop(PARTITION, FIRST.epoch, 1);
    expect(held.append(PARTITION, FIRST, 3, [copy("b", "two", 30)])).toEqual("kept");
  });

  it("lets a successor find every record that a majority of replicas holds", () => {
    const replicas = fc.integer({ min: 1, max: 7 });
    const property = fc.property(replicas, fc.infiniteStream(fc.boolean()), (count, draws) => {
      const draw = () => draws.next().value === true;
      const group = Array.from({ length: count }, () => new FencedCopies<string>(MAX_BYTES));
      const kept = group.filter((replica) => draw() && replica.append(PARTITION, FIRST, 1, [copy("a", "x")]));
      const sealed = group.filter(() => draw());
      const found = sealed.some((replica) => replica.seal(PARTITION, SECOND)?.includes("x"));
      const isRecorded = kept.length >= majorityOf(count);
      const isTaken = sealed.length >= majorityOf(count);
      return !(isRecorded && isTaken) || found;
    });
    fc.assert(property);
  });
});
