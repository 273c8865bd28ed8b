import { before, describe, it } from "node:test";
import { expect } from "earl";
import { chooseReplicas, nextMembershipStep } from "../../src/coordination/placement/index.ts";
import type { Member } from "../../src/coordination/shard-group/index.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

function nodes(count: number, zones: number): Member[] {
  return Array.from({ length: count }, (_, index) => ({
    instance: `node-${index}`,
    address: `10.0.0.${index}:1`,
    zone: `zone-${index % zones}`,
  }));
}

describe("replica placement", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  const options = () => ({ replicas: 3, shardsPerFamily: 4, hash32: hash.hash32 });

  it("uses different zones as long as there are enough of them", () => {
    for (let shard = 0; shard < 64; shard++) {
      const zones = new Set(chooseReplicas(shard, nodes(30, 5), options()).map((member) => member.zone));
      expect(zones.size).toEqual(3);
    }
  });

  it("moves only the replicas of a lost node", () => {
    const all = nodes(30, 5);
    const without = all.filter((node) => node.instance !== "node-7");
    for (let shard = 0; shard < 200; shard++) {
      const before = chooseReplicas(shard, all, options()).map((member) => member.instance);
      const after = chooseReplicas(shard, without, options()).map((member) => member.instance);
      if (!before.includes("node-7")) expect(after).toEqual(before);
    }
  });

  it("gives shards of one family the same replicas and the same leader", () => {
    const family = [0, 1, 2].map((shard) =>
      chooseReplicas(shard, nodes(30, 5), options()).map((one) => one.instance),
    );
    expect(new Set(family.map((members) => members.join())).size).toEqual(1);
  });

  it("distributes shards evenly, with less than 1.5 times the average on each node", () => {
    const held = new Map<string, number>();
    for (let shard = 0; shard < 4_000; shard++) {
      for (const { instance } of chooseReplicas(shard, nodes(20, 4), options())) {
        held.set(instance, (held.get(instance) ?? 0) + 1);
      }
    }
    const counts = [...held.values()];
    expect(Math.max(...counts) < 1.5 * ((4_000 * 3) / 20)).toEqual(true);
  });
});

describe("next membership step", () => {
  const [a, b, c, d] = nodes(4, 4);
  const CASES: [string, Parameters<typeof nextMembershipStep>[0], object][] = [
    [
      "is none when the membership is as wanted",
      {
        self: a.instance,
        membership: { voters: [a, b, c], learners: [] },
        wanted: [a, b, c],
        isCaughtUp: () => true,
      },
      { type: "none" },
    ],
    [
      "first adds a new member as a learner",
      {
        self: a.instance,
        membership: { voters: [a, b, c], learners: [] },
        wanted: [a, b, d],
        isCaughtUp: () => true,
      },
      { type: "change", membership: { voters: [a, b, c], learners: [d] } },
    ],
    [
      "waits until the learner has caught up",
      {
        self: a.instance,
        membership: { voters: [a, b, c], learners: [d] },
        wanted: [a, b, d],
        isCaughtUp: () => false,
      },
      { type: "none" },
    ],
    [
      "then promotes the learner to voter",
      {
        self: a.instance,
        membership: { voters: [a, b, c], learners: [d] },
        wanted: [a, b, d],
        isCaughtUp: () => true,
      },
      { type: "change", membership: { voters: [a, b, c, d], learners: [] } },
    ],
    [
      "then removes the unwanted voter",
      {
        self: a.instance,
        membership: { voters: [a, b, c, d], learners: [] },
        wanted: [a, b, d],
        isCaughtUp: () => true,
      },
      { type: "change", membership: { voters: [a, b, d], learners: [] } },
    ],
    [
      "removes a learner that is no longer wanted",
      {
        self: a.instance,
        membership: { voters: [a, b, c], learners: [d] },
        wanted: [a, b, c],
        isCaughtUp: () => false,
      },
      { type: "change", membership: { voters: [a, b, c], learners: [] } },
    ],
    [
      "transfers the leadership before the leader itself is removed",
      {
        self: c.instance,
        membership: { voters: [a, b, c], learners: [] },
        wanted: [a, b],
        isCaughtUp: () => true,
      },
      { type: "transfer", preferred: a.instance },
    ],
    [
      "transfers the leadership to the preferred member only",
      {
        self: c.instance,
        membership: { voters: [a, b, c], learners: [] },
        wanted: [a, b, c],
        isCaughtUp: () => true,
      },
      { type: "transferTo", to: a.instance },
    ],
    [
      "leaves the leadership where it is while the preferred member lacks entries",
      {
        self: c.instance,
        membership: { voters: [a, b, c], learners: [] },
        wanted: [a, b, c],
        isCaughtUp: () => false,
      },
      { type: "none" },
    ],
  ];
  for (const [name, input, expected] of CASES) {
    it(name, () => {
      expect(nextMembershipStep(input)).toLooseEqual(expected);
    });
  }
});
