/** How gateways exchange the speed of runners and their own headroom, with and without relays, on virtual time. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import {
  DEFAULT_ZONES,
  FLEET_RUNNERS,
  fleetAddress,
  MemberFleet,
} from "../../bench/simulation/gateways/member-fleet.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import { CostByTime } from "../../src/scheduling/runner-balancing/cost-by-time.ts";

const SETTLE_MS = 6_000;
/**
 * Time within which every gateway must know of a change: a heartbeat to the relay, its digest to a relay of another zone,
 * and that relay's digest, each after half a second at most.
 */
const PROPAGATION_MS = 2_000;
const COUNT = 24;

describe("load balancing through membership messages", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  for (const [name, directMost] of [
    ["directly", COUNT],
    ["through relays", 8],
  ] as const) {
    it(`tells all gateways which runner is slow, ${name}`, async () => {
      const balance = { newCost: () => new CostByTime() };
      const fleet = new MemberFleet(hash, COUNT, directMost, DEFAULT_ZONES, balance);
      await fleet.time.runUntil(SETTLE_MS);
      const [fast, slow] = FLEET_RUNNERS;
      const seen = {
        work: "w",
        steps: 1,
        firstChunkMs: 1,
        promptTokens: undefined,
        wasCached: false,
        load: 0,
      };
      for (const { balancer, process } of fleet.members.slice(0, 3)) {
        balancer.recordTiming(fast, { ...seen, workMs: 50 }, process.monotonicMs());
        balancer.recordTiming(slow, { ...seen, workMs: 150 }, process.monotonicMs());
      }
      await fleet.time.runUntil(SETTLE_MS + PROPAGATION_MS);
      for (const { balancer, process } of fleet.members) {
        const choice = { pool: "p", zone: "zone-0", excluded: new Set<RunnerId>(), preferred: undefined };
        const now = { ...choice, nowMs: process.monotonicMs(), sample: 0.5 };
        const expectedMs = (id: RunnerId) => balancer.expectedMs(id, now) ?? 0;
        expect(expectedMs(slow) > 1.5 * expectedMs(fast)).toEqual(true);
      }
    });

    it(`excludes a gateway without headroom from the answers to callers, ${name}`, async () => {
      const balance = { headroomOf: (index: number) => (index === 0 && isFull ? 0 : 4) };
      let isFull = false;
      const fleet = new MemberFleet(hash, COUNT, directMost, DEFAULT_ZONES, balance);
      const listedBy = () =>
        fleet.members.filter(({ directory }) =>
          directory.callerAddresses("zone-0").includes(fleetAddress(0)),
        );
      await fleet.time.runUntil(SETTLE_MS);
      expect(listedBy().length).toEqual(COUNT);
      isFull = true;
      await fleet.time.runUntil(SETTLE_MS + PROPAGATION_MS);
      expect(listedBy().length).toEqual(0);
    });
  }

  it("adds no messages", async () => {
    const messages: number[] = [];
    for (const isChanging of [false, true]) {
      let second = 0;
      const headroomOf = (index: number) => (isChanging ? (index + second) % 5 : 4);
      const fleet = new MemberFleet(hash, COUNT, 8, DEFAULT_ZONES, { headroomOf });
      await fleet.time.runUntil(SETTLE_MS);
      fleet.messages = 0;
      for (second = 1; second <= 10; second += 1) await fleet.time.runUntil(SETTLE_MS + 1_000 * second);
      messages.push(fleet.messages);
    }
    const [unchanged = 0, changing = 0] = messages;
    expect(changing <= 1.01 * unchanged).toEqual(true);
  });
});
