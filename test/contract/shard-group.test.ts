import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { GroupNetwork } from "./support/group-network.ts";

const SETTLE_MS = 2_000;

function startedWithLeader(names: readonly string[]): GroupNetwork {
  const network = GroupNetwork.start(names);
  network.advance(SETTLE_MS);
  return network;
}

function leaderName(network: GroupNetwork): string {
  const leader = network.leader();
  if (!leader) throw new Error("There is no leader.");
  return leader.member.instance;
}

describe("shard group", () => {
  const FAULTS: [string, (network: GroupNetwork, leader: string) => void][] = [
    ["no fault", () => undefined],
    [
      "a dead leader",
      (network, leader) => {
        network.get(leader).alive = false;
      },
    ],
    [
      "a dead follower",
      (network, leader) => {
        const follower = [...network.replicas.keys()].find((name) => name !== leader);
        network.get(follower ?? "").alive = false;
      },
    ],
    [
      "a leader that hears nobody",
      (network, leader) => {
        for (const name of network.replicas.keys()) network.cuts.add(`${name}>${leader}`);
      },
    ],
    [
      "a leader that reaches nobody",
      (network, leader) => {
        for (const name of network.replicas.keys()) network.cuts.add(`${leader}>${name}`);
      },
    ],
  ];

  for (const [name, bringAbout] of FAULTS) {
    it(`keeps what was committed and goes on with ${name}`, () => {
      const network = startedWithLeader(["a", "b", "c"]);
      network.propose("before");
      network.advance(200);
      const leader = leaderName(network);
      bringAbout(network, leader);
      network.advance(SETTLE_MS * 2);
      expect(network.propose("after")).toEqual(true);
      network.advance(SETTLE_MS);
      expect(network.leader()?.applied).toEqual(["before", "after"]);
    });
  }

  it("commits nothing without a majority, and its leader steps down", () => {
    const network = startedWithLeader(["a", "b", "c"]);
    const leader = leaderName(network);
    for (const name of network.replicas.keys()) {
      if (name !== leader) network.get(name).alive = false;
    }
    network.propose("lost");
    network.advance(SETTLE_MS);
    expect(network.get(leader).applied).toEqual([]);
    expect(network.get(leader).group.role === "leader").toEqual(false);
  });

  it("does not let a frozen leader propose after it wakes", () => {
    const network = startedWithLeader(["a", "b", "c"]);
    const frozen = network.get(leaderName(network));
    expect(frozen.group.hasMajority(network.nowMs)).toEqual(true);
    expect(frozen.group.hasMajority(network.nowMs + SETTLE_MS)).toEqual(false);
    expect(frozen.group.propose("late", network.nowMs + SETTLE_MS)).toEqual(undefined);
  });

  it("brings an empty replica up to date by a snapshot, and lets it vote", () => {
    const network = startedWithLeader(["a", "b", "c"]);
    for (let count = 0; count < 20; count++) network.propose(`entry ${count}`);
    network.advance(200);
    const leader = network.get(leaderName(network));
    leader.group.truncate(leader.appliedIndex - 2);
    const fresh = network.add("d");
    const { voters } = leader.group.membership;
    leader.group.proposeMembership({ voters, learners: [fresh.member] }, network.nowMs);
    network.advance(1_000);
    expect(fresh.applied).toEqual(leader.applied);
    leader.group.proposeMembership({ voters: [...voters, fresh.member], learners: [] }, network.nowMs);
    network.advance(1_000);
    expect(leader.group.membership.voters.length).toEqual(4);
  });

  it("does not change two voters at once, or before the last change is committed", () => {
    const network = startedWithLeader(["a", "b", "c"]);
    const leader = network.get(leaderName(network));
    const { voters } = leader.group.membership;
    const two = { voters: [voters[0]], learners: [] };
    const one = { voters: voters.slice(1), learners: [] };
    expect(leader.group.proposeMembership(two, network.nowMs)).toEqual(undefined);
    expect(leader.group.proposeMembership(one, network.nowMs) === undefined).toEqual(false);
    expect(leader.group.proposeMembership({ voters, learners: [] }, network.nowMs)).toEqual(undefined);
  });

  it("hands leadership over without losing an entry", () => {
    const network = startedWithLeader(["a", "b", "c"]);
    network.propose("before");
    network.advance(200);
    const before = leaderName(network);
    network.get(before).group.transferLeadership();
    network.run(network.get(before));
    network.deliverAll();
    network.advance(100);
    expect(leaderName(network) === before).toEqual(false);
    expect(network.leader()?.applied).toEqual(["before"]);
  });

  it("keeps a late duplicate of a snapshot from dropping acknowledged entries", () => {
    const network = startedWithLeader(["a", "b", "c"]);
    network.propose("one");
    network.advance(200);
    const leader = network.get(leaderName(network));
    const follower = [...network.replicas.values()].find((replica) => replica !== leader);
    const lastBefore = follower?.group.lastIndex ?? 0;
    network.propose("two");
    network.deliverAll();
    leader.group.provideSnapshot(follower?.member ?? leader.member, lastBefore, ["one"]);
    network.run(leader);
    network.deliverAll();
    expect(follower?.group.lastIndex).toEqual(leader.group.lastIndex);
  });

  it("keeps its promises under any order of losses, duplicates, cuts and pauses", () => {
    const step = fc.oneof(
      fc.record({ type: fc.constant("advance" as const), value: fc.integer({ min: 50, max: 900 }) }),
      fc.record({ type: fc.constant("propose" as const), value: fc.nat(1_000) }),
      fc.record({ type: fc.constant("drop" as const), value: fc.nat(1_000) }),
      fc.record({ type: fc.constant("double" as const), value: fc.nat(1_000) }),
      fc.record({ type: fc.constant("cut" as const), value: fc.nat(1_000) }),
      fc.record({ type: fc.constant("heal" as const), value: fc.nat(1_000) }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const network = GroupNetwork.start(["a", "b", "c"]);
        const names = ["a", "b", "c"];
        for (const { type, value } of steps) {
          const from = names[value % 3];
          const to = names[Math.floor(value / 3) % 3];
          if (type === "advance") network.advance(value);
          else if (type === "propose") network.propose(`command ${value}`);
          else if (type === "cut") network.cuts.add(`${from}>${to}`);
          else if (type === "heal") network.cuts.clear();
          else network.disturb(value, type);
          expectSamePrefixes(network);
        }
        for (const leaders of network.leadersByTerm.values()) expect(leaders.size).toEqual(1);
        network.cuts.clear();
        network.advance(SETTLE_MS * 3);
        expect(network.propose("last")).toEqual(true);
      }),
      { seed: 7, numRuns: 150 },
    );
  });
});

/** Whatever two replicas have applied, one is the beginning of the other. */
function expectSamePrefixes(network: GroupNetwork): void {
  const applied = [...network.replicas.values()].map((replica) => replica.applied);
  for (const left of applied) {
    for (const right of applied) {
      const length = Math.min(left.length, right.length);
      expect(left.slice(0, length)).toEqual(right.slice(0, length));
    }
  }
}
