import { describe, it } from "node:test";
import { expect } from "earl";
import { ReplicaNetwork } from "./support/replica-network.ts";

const NAMES = ["a", "b", "c"];
const SETTLE_MS = 3_000;
/** Time without contact after which a replica stops waiting for its proposals, plus an election. */
const NO_CONTACT_MS = 8_000;
/** More entries than a leader keeps in memory. */
const MANY_ENTRIES = 1_200;

async function startReplicas(): Promise<{ network: ReplicaNetwork; leader: string }> {
  const network = new ReplicaNetwork(NAMES);
  await network.advance(SETTLE_MS);
  return { network, leader: network.leader() };
}

function breakLinks(network: ReplicaNetwork, name: string, direction: "from" | "both"): void {
  for (const other of NAMES) {
    network.brokenLinks.add(`${other}>${name}`);
    if (direction === "both") network.brokenLinks.add(`${name}>${other}`);
  }
}

describe("proposals of a leader that loses its shard", () => {
  it("are all lost once the next leader has committed an entry, without later entries", async () => {
    const { network, leader } = await startReplicas();
    breakLinks(network, leader, "both");
    const outcomes = network.propose(leader, 5);
    await network.advance(SETTLE_MS);
    network.brokenLinks.clear();
    await network.advance(SETTLE_MS);
    expect(outcomes).toEqual(["lost", "lost", "lost", "lost", "lost"]);
  });

  it("are applied if the next leader has received them", async () => {
    const { network, leader } = await startReplicas();
    breakLinks(network, leader, "from");
    const outcomes = network.propose(leader, 3);
    await network.advance(SETTLE_MS);
    network.brokenLinks.clear();
    await network.advance(SETTLE_MS);
    expect(outcomes).toEqual(["applied", "applied", "applied"]);
  });

  it("are unknown after a snapshot replaced the log, also those beyond the snapshot", async () => {
    const { network, leader } = await startReplicas();
    breakLinks(network, leader, "both");
    const outcomes = network.propose(leader, 2 * MANY_ENTRIES);
    await network.advance(SETTLE_MS);
    network.propose(network.leader(leader), MANY_ENTRIES);
    await network.advance(SETTLE_MS / 3);
    network.brokenLinks.clear();
    await network.advance(SETTLE_MS);
    expect(new Set(outcomes)).toEqual(new Set(["unknown"]));
  });

  it("are unknown when the leader hears from no other replica any more", async () => {
    const { network, leader } = await startReplicas();
    breakLinks(network, leader, "both");
    const outcomes = network.propose(leader, 3);
    await network.advance(NO_CONTACT_MS);
    expect(outcomes).toEqual(["unknown", "unknown", "unknown"]);
  });

  it("are unknown when the replica is closed", async () => {
    const { network, leader } = await startReplicas();
    breakLinks(network, leader, "both");
    const outcomes = network.propose(leader, 3);
    network.replicas.get(leader)?.close();
    await network.advance(10);
    expect(outcomes).toEqual(["unknown", "unknown", "unknown"]);
  });
});
