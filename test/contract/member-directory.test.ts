/** How gateways discover each other and detect lost ones, with and without relays, on virtual time. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import {
  DEFAULT_ZONES,
  FLEET_RUNNERS,
  fleetAddress,
  MemberFleet,
} from "../../bench/simulation/gateways/member-fleet.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

const SETTLE_MS = 6_000;
/** Time within which all gateways must detect a loss that no message announces. */
const DETECTION_MS = 3_000;
const FORGET_MS = 60_000;

const SIZES: [name: string, count: number, directMost: number][] = [
  ["directly", 6, 24],
  ["through relays", 24, 8],
  ["through relays in a large fleet", 48, 24],
];

describe("member directory", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  for (const [name, count, directMost] of SIZES) {
    it(`lists all gateways to callers, without a gap, ${name}`, async () => {
      const fleet = new MemberFleet(hash, count, directMost);
      for (let atMs = SETTLE_MS; atMs < 4 * SETTLE_MS; atMs += 250) {
        await fleet.time.runUntil(atMs);
        expect(fleet.named()).toEqual([count, count]);
      }
    });

    it(`drops gateways that die, seeds included, ${name}`, async () => {
      const fleet = new MemberFleet(hash, count, directMost);
      await fleet.time.runUntil(SETTLE_MS);
      for (let killed = 0; killed < Math.min(count - 2, 8); killed += 1) {
        fleet.members[killed]?.process.kill();
        await fleet.time.runUntil(fleet.time.nowMs + DETECTION_MS);
        expect(fleet.named()).toEqual([count - killed - 1, count - killed - 1]);
      }
    });

    it(`drops a whole zone that stops responding, and adds it again when it resumes, ${name}`, async () => {
      const fleet = new MemberFleet(hash, count, directMost);
      await fleet.time.runUntil(SETTLE_MS);
      const zone = fleet.members.filter((_, index) => index % DEFAULT_ZONES === 0);
      for (const { process } of zone) process.freeze();
      await fleet.time.runUntil(fleet.time.nowMs + DETECTION_MS);
      expect(fleet.named()).toEqual([count - zone.length, count - zone.length]);
      for (const { process } of zone) process.wake();
      await fleet.time.runUntil(fleet.time.nowMs + SETTLE_MS);
      expect(fleet.named()).toEqual([count, count]);
    });

    it(`lists all gateways again after all were killed at once, ${name}`, async () => {
      const fleet = new MemberFleet(hash, count, directMost);
      await fleet.time.runUntil(SETTLE_MS);
      for (const { process } of fleet.members) process.kill();
      await fleet.time.runUntil(fleet.time.nowMs + 1_000);
      for (let index = 0; index < count; index += 1) fleet.start(index);
      await fleet.time.runUntil(fleet.time.nowMs + SETTLE_MS);
      expect(fleet.named()).toEqual([count, count]);
    });

    it(`lists all gateways after a period of message loss, ${name}`, async () => {
      const fleet = new MemberFleet(hash, count, directMost);
      await fleet.time.runUntil(SETTLE_MS);
      fleet.network.conditions.loss = 0.1;
      await fleet.time.runUntil(fleet.time.nowMs + SETTLE_MS);
      fleet.network.conditions.loss = 0;
      await fleet.time.runUntil(fleet.time.nowMs + SETTLE_MS);
      expect(fleet.named()).toEqual([count, count]);
    });

    it(`counts each gateway's requests exactly once at every gateway, ${name}`, async () => {
      const fleet = new MemberFleet(hash, count, directMost);
      await fleet.time.runUntil(SETTLE_MS);
      for (const { balancer, process } of fleet.members)
        balancer.recordStart(FLEET_RUNNERS[0], process.monotonicMs(), 60_000);
      await fleet.time.runUntil(fleet.time.nowMs + 2_500);
      const loads = fleet.members.map(({ balancer }) => balancer.load(FLEET_RUNNERS[0]));
      expect([Math.min(...loads), Math.max(...loads)]).toEqual([count, count]);
    });
  }

  it("lets a stopping gateway keep its partitions until it reports otherwise", async () => {
    const fleet = new MemberFleet(hash, 3, 24);
    await fleet.time.runUntil(SETTLE_MS);
    const [stopping, other] = fleet.members;
    if (!stopping || !other) throw new Error("no fleet");
    const report = stopping.directory.selfReport();
    const instance = `${stopping.name}#1`;
    for (const [state, mayOwn] of [
      ["ready", true],
      ["stopping", true],
      ["starting", false],
    ] as const) {
      stopping.directory.selfReport = () => ({ ...report, state });
      stopping.directory.tick();
      await fleet.time.runUntil(fleet.time.nowMs + 1_000);
      expect([state, other.directory.mayOwn(instance)]).toEqual([state, mayOwn]);
    }
  });

  it("removes a gateway that stays silent, and stops contacting it", async () => {
    const fleet = new MemberFleet(hash, 4, 24);
    await fleet.time.runUntil(SETTLE_MS);
    fleet.members[3]?.process.kill();
    await fleet.time.runUntil(SETTLE_MS + FORGET_MS - 1_000);
    expect(fleet.members[0]?.directory.knownAddresses.includes(fleetAddress(3))).toEqual(true);
    await fleet.time.runUntil(SETTLE_MS + FORGET_MS + 10_000);
    for (const { directory } of fleet.alive())
      expect(directory.knownAddresses.includes(fleetAddress(3))).toEqual(false);
  });

  it("sends a number of messages that grows linearly with the number of gateways", async () => {
    const perGateway: number[] = [];
    for (const count of [48, 96]) {
      const fleet = new MemberFleet(hash, count, 24);
      await fleet.time.runUntil(SETTLE_MS);
      fleet.messages = 0;
      await fleet.time.runUntil(2 * SETTLE_MS);
      perGateway.push(fleet.messages / count / (SETTLE_MS / 1_000));
    }
    const [small = 0, large = 0] = perGateway;
    expect(large < 1.1 * small).toEqual(true);
    expect(large < 20).toEqual(true);
  });

  it("recomputes which members are alive only when the evidence changes", async () => {
    const fleet = new MemberFleet(hash, 192, 24, 7);
    await fleet.time.runUntil(SETTLE_MS);
    let clockReads = 0;
    // Each check whether a member is alive reads the clock. Counting these reads measures the work independently of other
    // load on the machine.
    for (const { process } of fleet.members) {
      const read = process.monotonicMs.bind(process);
      process.monotonicMs = () => {
        clockReads += 1;
        return read();
      };
    }
    await fleet.time.runUntil(2 * SETTLE_MS);
    // It is 8,236 per second and gateway if the live members are recomputed for each query.
    expect(clockReads / 192 / (SETTLE_MS / 1_000) < 2_000).toEqual(true);
  });

  it("lets only a few gateways look for others that no gateway hears", async () => {
    const fleet = new MemberFleet(hash, 96, 24);
    await fleet.time.runUntil(SETTLE_MS);
    const searching = fleet.members.filter(({ directory }) => directory.looksForOthers);
    expect(searching.length).toEqual(2 * DEFAULT_ZONES);
    for (const { process } of fleet.members.slice(1)) process.kill();
    await fleet.time.runUntil(fleet.time.nowMs + DETECTION_MS);
    expect(fleet.members[0]?.directory.looksForOthers).toEqual(true);
  });

  it("needs few messages when all gateways start at once", async () => {
    const fleet = new MemberFleet(hash, 195, 24, 7);
    await fleet.time.runUntil(1_000);
    for (const { directory } of fleet.members) expect(directory.aliveCount).toEqual(194);
    await fleet.time.runUntil(3_000);
    // It is 457 if each gateway contacts every address that it learns.
    expect(fleet.messages / 195 < 150).toEqual(true);
  });

  it("finds all gateways without a running seed, once some have read the others' addresses from the store", async () => {
    const fleet = new MemberFleet(hash, 60, 24, 7);
    for (const { process } of fleet.members.slice(0, 3)) process.kill();
    const addresses = fleet.members.slice(3).map((_, index) => fleetAddress(index + 3));
    for (const { directory } of fleet.members.slice(3))
      if (directory.looksForOthers) directory.addKnownAddresses(addresses);
    await fleet.time.runUntil(2 * SETTLE_MS);
    for (const { directory } of fleet.members.slice(3)) expect(directory.aliveCount).toEqual(56);
  });
});
