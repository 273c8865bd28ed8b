/** Traffic between gateways while they restart one after the other, under load at many runners. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { MemberFleet } from "../../bench/simulation/gateways/member-fleet.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../src/scheduling/ids/runner-name.ts";
import type { SoftwareVersion } from "../../src/scheduling/ids/software-version.ts";

const GATEWAYS = 64;
const ZONES = 3;
const RUNNERS = 116;
const DIRECT_MOST = 24;
const SETTLE_MS = 8_000;
const RESTART_EVERY_MS = 1_000;
const RESTARTS = 20;
const PATIENCE_MS = 60_000;
/**
 * Maximum traffic of heartbeats and digests that a gateway may receive, in KB per second. It is 46.1 with the loads of
 * runners in heartbeats and their digests only, and 84.6 if every forwarded change carries the loads of all runners.
 */
const MAX_KB_PER_SECOND = 55;

describe("traffic between gateways during a rolling restart", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  it("grows with the number of changes, not with the loads of all runners", async () => {
    const fleet = new MemberFleet(hash, GATEWAYS, DIRECT_MOST, ZONES);
    const putUnderLoad = (index: number): void => {
      const member = fleet.members[index];
      for (let runner = 0; runner < RUNNERS; runner += 1) {
        const id = `runner-${runner}-with-a-long-name` as RunnerId;
        member?.balancer.upsert({
          name: id as string as RunnerName,
          startedAtMs: undefined,
          id,
          pool: "p",
          address: "a",
          zone: "z",
          version: "v1" as SoftwareVersion,
          slots: 8,
          state: "ready",
        });
        if ((runner + index) % 8 === 0)
          member?.balancer.recordStart(id, member.process.monotonicMs(), PATIENCE_MS);
      }
    };
    for (let index = 0; index < GATEWAYS; index += 1) putUnderLoad(index);
    await fleet.time.runUntil(SETTLE_MS);
    fleet.countsBytes = true;
    for (let restart = 0; restart < RESTARTS; restart += 1) {
      const index = (restart * 7) % GATEWAYS;
      fleet.members[index]?.process.kill();
      await fleet.time.runUntil(SETTLE_MS + restart * RESTART_EVERY_MS + RESTART_EVERY_MS / 2);
      fleet.start(index);
      putUnderLoad(index);
      await fleet.time.runUntil(SETTLE_MS + (restart + 1) * RESTART_EVERY_MS);
    }
    const bytes = [...fleet.bytes.values()].reduce((sum, count) => sum + count, 0);
    const seconds = (RESTARTS * RESTART_EVERY_MS) / 1_000;
    const kbPerSecond = bytes / 1_000 / GATEWAYS / seconds;
    expect(kbPerSecond <= MAX_KB_PER_SECOND).toEqual(true);
    // Every gateway lists all others again.
    await fleet.time.runUntil(SETTLE_MS + RESTARTS * RESTART_EVERY_MS + 3_000);
    expect(fleet.named()).toEqual([GATEWAYS, GATEWAYS]);
  });
});
