import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { GroupNetwork } from "./support/group-network.ts";

const SETTLE_MS = 2_000;
/** More entries than fit in a few messages. */
const MANY_ENTRIES = 300;

function startGroup(names: readonly string[]): GroupNetwork {
  const network = GroupNetwork.start(names);
  network.advance(SETTLE_MS);
  return network;
}

function leaderOf(network: GroupNetwork): string {
  const leader = network.leader();
  if (!leader) throw new Error("There is no leader.");
  return leader.member.instance;
}

describe("shard group", () => {
  const FAULT_CASES: [string, (network: GroupNetwork, leader: string) => void][] = [
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
      "a leader that receives no messages",
      (network, leader) => {
        for (const name of network.replicas.keys()) network.brokenLinks.add(`${name}>${leader}`);
      },
    ],
    [
      "a leader whose messages are all lost",
      (network, leader) => {
        for (const name of network.replicas.keys()) network.brokenLinks.add(`${leader}>${name}`);
      },
    ],
  ];

  for (const [name, injectFault] of FAULT_CASES) {
    it(`keeps committed entries and commits new ones with ${name}`, () => {
      const network = startGroup(["a", "b", "c"]);
      network.propose("before");
      network.advance(200);
      const leader = leaderOf(network);
      injectFault(network, leader);
      network.advance(SETTLE_MS * 2);
      expect(network.propose("after")).toEqual(true);
      network.advance(SETTLE_MS);
      expect(network.leader()?.applied).toEqual(["before", "after"]);
    });
  }

  it("commits nothing without a majority, and the leader steps down", () => {
    const network = startGroup(["a", "b", "c"]);
    const leader = leaderOf(network);
    for (const name of network.replicas.keys()) {
      if (name !== leader) network.get(name).alive = false;
    }
    network.propose("lost");
    network.advance(SETTLE_MS);
    expect(network.get(leader).applied).toEqual([]);
    expect(network.get(leader).group.role === "leader").toEqual(false);
  });

  it("rejects proposals of a leader that resumes after a pause longer than the election time-out", () => {
    const network = startGroup(["a", "b", "c"]);
    const frozen = network.get(leaderOf(network));
    expect(frozen.group.hasMajority(network.nowMs)).toEqual(true);
    expect(frozen.group.hasMajority(network.nowMs + SETTLE_MS)).toEqual(false);
    expect(frozen.group.propose("late", network.nowMs + SETTLE_MS)).toEqual(undefined);
  });

  it("brings an empty replica up to date with a snapshot and makes it a voter", () => {
    const network = startGroup(["a", "b", "c"]);
    for (let count = 0; count < 20; count++) network.propose(`entry ${count}`);
    network.advance(200);
    const leader = network.get(leaderOf(network));
    leader.group.truncate(leader.appliedIndex - 2);
    const newReplica = network.add("d");
    const { voters } = leader.group.membership;
    leader.group.proposeMembership({ voters, learners: [newReplica.member] }, network.nowMs);
    network.advance(1_000);
    expect(newReplica.applied).toEqual(leader.applied);
    leader.group.proposeMembership({ voters: [...voters, newReplica.member], learners: [] }, network.nowMs);
    network.advance(1_000);
    expect(leader.group.membership.voters.length).toEqual(4);
  });

  it("rejects a change of two voters at once, and a change before the previous one is committed", () => {
    const network = startGroup(["a", "b", "c"]);
    const leader = network.get(leaderOf(network));
    const { voters } = leader.group.membership;
    const twoRemoved = { voters: [voters[0]], learners: [] };
    const oneRemoved = { voters: voters.slice(1), learners: [] };
    expect(leader.group.proposeMembership(twoRemoved, network.nowMs)).toEqual(undefined);
    expect(leader.group.proposeMembership(oneRemoved, network.nowMs) === undefined).toEqual(false);
    expect(leader.group.proposeMembership({ voters, learners: [] }, network.nowMs)).toEqual(undefined);
  });

  it("transfers leadership without losing an entry", () => {
    const network = startGroup(["a", "b", "c"]);
    network.propose("before");
    network.advance(200);
    const before = leaderOf(network);
    network.get(before).group.transferLeadership(network.nowMs);
    network.executeEffects(network.get(before));
    network.deliverAll();
    network.advance(100);
    expect(leaderOf(network) === before).toEqual(false);
    expect(network.leader()?.applied).toEqual(["before"]);
  });

  it("transfers leadership to one replica only if that one has the whole log", () => {
    const network = startGroup(["a", "b", "c"]);
    const leader = network.get(leaderOf(network));
    const [follower, other] = [...network.replicas.keys()].filter((name) => name !== leaderOf(network));
    network.brokenLinks.add(`${leader.member.instance}>${follower}`);
    network.propose("only one replica has this");
    network.deliverAll();
    expect(leader.group.transferLeadershipTo(follower, network.nowMs)).toEqual(undefined);
    expect(leader.group.transferLeadershipTo(other, network.nowMs)?.instance).toEqual(other);
  });

  it("transfers leadership to no replica that died with the whole log", () => {
    const network = startGroup(["a", "b", "c"]);
    const leader = network.get(leaderOf(network));
    const [dead, alive] = [...network.replicas.values()].filter((replica) => replica !== leader);
    dead.alive = false;
    network.advance(SETTLE_MS);
    expect(leader.group.lagInEntries(dead.member.instance)).toEqual(0);
    const target = leader.group.transferLeadership(network.nowMs, dead.member.instance);
    expect(target?.instance).toEqual(alive.member.instance);
  });

  it("does not know the lag of a replica that has not responded to the leader", () => {
    const network = startGroup(["a", "b", "c"]);
    const former = network.get(leaderOf(network));
    former.alive = false;
    network.advance(SETTLE_MS);
    const leader = network.get(leaderOf(network));
    const other = [...network.replicas.values()].find((replica) => replica !== former && replica !== leader);
    expect(leader.group.lagInEntries(former.member.instance)).toEqual(undefined);
    expect(leader.group.lagInEntries(other?.member.instance ?? "")).toEqual(0);
  });

  it("drops no acknowledged entries when a late duplicate of a snapshot arrives", () => {
    const network = startGroup(["a", "b", "c"]);
    network.propose("one");
    network.advance(200);
    const leader = network.get(leaderOf(network));
    const follower = [...network.replicas.values()].find((replica) => replica !== leader);
    const lastBefore = follower?.group.lastIndex ?? 0;
    network.propose("two");
    network.deliverAll();
    leader.group.provideSnapshot(follower?.member ?? leader.member, lastBefore, ["one"]);
    network.executeEffects(leader);
    network.deliverAll();
    expect(follower?.group.lastIndex).toEqual(leader.group.lastIndex);
  });

  it("sends a former leader with many uncommitted entries what it lacks, not more than twice", () => {
    const network = startGroup(["a", "b", "c"]);
    const former = network.get(leaderOf(network));
    const { instance } = former.member;
    for (const name of network.replicas.keys()) {
      network.brokenLinks.add(`${instance}>${name}`);
      network.brokenLinks.add(`${name}>${instance}`);
    }
    for (let count = 0; count < MANY_ENTRIES; count++) former.group.propose(`lost ${count}`, network.nowMs);
    network.advance(SETTLE_MS);
    for (let count = 0; count < MANY_ENTRIES; count++) network.propose(`kept ${count}`);
    network.advance(SETTLE_MS);
    network.brokenLinks.clear();
    network.deliveredEntries.clear();
    network.advance(SETTLE_MS);
    expect(former.applied.length).toEqual(MANY_ENTRIES);
    expect((network.deliveredEntries.get(instance) ?? 0) <= 2 * (MANY_ENTRIES + 1)).toEqual(true);
  });

  it("sends entries again once when a follower rejects many messages after a lost one", () => {
    const network = startGroup(["a", "b", "c"]);
    const [follower] = [...network.replicas.keys()].filter((name) => name !== leaderOf(network));
    network.propose("lost message");
    network.disturbMessage(0, "drop");
    network.deliveredEntries.clear();
    for (let count = 0; count < MANY_ENTRIES; count++) network.propose(`entry ${count}`);
    network.deliverAll();
    network.advance(SETTLE_MS);
    expect(network.get(follower).applied.length).toEqual(MANY_ENTRIES + 1);
    expect((network.deliveredEntries.get(follower) ?? 0) <= 2 * (MANY_ENTRIES + 1)).toEqual(true);
  });

  it("keeps its guarantees under any order of lost messages, duplicates, broken links and pauses", () => {
    const step = fc.oneof(
      fc.record({ type: fc.constant("advance" as const), value: fc.integer({ min: 50, max: 900 }) }),
      fc.record({ type: fc.constant("propose" as const), value: fc.nat(1_000) }),
      fc.record({ type: fc.constant("drop" as const), value: fc.nat(1_000) }),
      fc.record({ type: fc.constant("duplicate" as const), value: fc.nat(1_000) }),
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
          else if (type === "cut") network.brokenLinks.add(`${from}>${to}`);
          else if (type === "heal") network.brokenLinks.clear();
          else network.disturbMessage(value, type);
          expectConsistentPrefixes(network);
        }
        for (const leaders of network.leadersByTerm.values()) expect(leaders.size).toEqual(1);
        network.brokenLinks.clear();
        network.advance(SETTLE_MS * 3);
        expect(network.propose("last")).toEqual(true);
      }),
      { seed: 7, numRuns: 150 },
    );
  });
});

/** Checks that of any two replicas, the commands that one has applied are a prefix of those of the other. */
function expectConsistentPrefixes(network: GroupNetwork): void {
  const applied = [...network.replicas.values()].map((replica) => replica.applied);
  for (const left of applied) {
    for (const right of applied) {
      const length = Math.min(left.length, right.length);
      expect(left.slice(0, length)).toEqual(right.slice(0, length));
    }
  }
}
