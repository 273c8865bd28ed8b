/**
 * Following the list of runners: entries that expire during an outage of the store, removed runners, restarted runners, and
 * rows that no runner has written.
 */

import { beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { pino } from "pino";
import { REACHABLE_AFTER_MS } from "../../bench/simulation/gateways/reachability-record.ts";
import { SharedStore, SimulatedRowStore } from "../../bench/simulation/gateways/simulated-row-store.ts";
import { SimulatedProcess, VirtualTime } from "../../bench/simulation/virtual-time.ts";
import { RunnerWatch } from "../../src/gateway/runners/runner-watch.ts";
import { StoreHealth } from "../../src/gateway/store-health.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import { RunnerBalancer } from "../../src/scheduling/runner-balancing/runner-balancer.ts";
import { gatewayContext } from "./support/gateway-parts.ts";

const RUNNER = "runner-1" as RunnerId;
const OTHER = "runner-2" as RunnerId;
const UNUSED = "127.0.0.1:1";
const TABLE = "servers";
const VALID_ROW = {
  service: "pool",
  address: UNUSED,
  zone: "zone-a",
  version: "v1",
  slots: 4,
  state: "ready",
  "cold-remaining-ms": 0,
};
/** Offset between repetitions, in ms, so that each fault occurs at another point of a wait for changes. */
const PHASE_STEP_MS = 37;
/** Interval at which runners renew their entries, in ms. */
const RENEWAL_INTERVAL_MS = 1_200;

let time: VirtualTime;
let store: SharedStore;
let path: SimulatedRowStore;
let board: RunnerBalancer;
let sequence: number;
let replaced: RunnerId[];
let logLines: string[];

function write(id: string, more: Record<string, unknown> = {}): void {
  sequence += 1;
  writeBytes(id, Buffer.from(JSON.stringify({ ...VALID_ROW, sequence, ...more })));
}

function writeBytes(key: string, bytes: Buffer): void {
  const value = bytes.toString("base64");
  store.model.transact({ conditions: [], puts: [{ table: TABLE, part: "", key, value }], removes: [] });
}

function expire(id: string): void {
  store.model.transact({ conditions: [], puts: [], removes: [{ table: TABLE, part: "", key: id }] });
}

function renewForEver(id: string): void {
  write(id);
  time.after(RENEWAL_INTERVAL_MS, () => renewForEver(id));
}

describe("list of runners", () => {
  beforeEach(async () => {
    time = new VirtualTime();
    store = new SharedStore(time, new SeededRandomSource(1));
    board = new RunnerBalancer();
    sequence = 0;
    const clock = new SimulatedProcess("gateway", "zone-a", time);
    const context = await gatewayContext("gateway", UNUSED);
    logLines = [];
    const log = pino({}, { write: (line: string) => void logLines.push(line) });
    path = new SimulatedRowStore(store, clock);
    const platform = { ...context.platform, store: path };
    const simulated = { ...context, clock, platform, log };
    write(RUNNER);
    renewForEver(OTHER);
    const watch = new RunnerWatch(simulated, new StoreHealth(simulated), board);
    replaced = [];
    watch.onReplaced = (runner) => replaced.push(runner);
    watch.start();
    await time.runUntil(5_000);
  });

  it("removes a runner whose entry disappears while the store is reachable", async () => {
    expire(RUNNER);
    await time.runUntil(6_000);
    expect(board.ready(RUNNER)).toEqual(undefined);
    expect(board.ready(OTHER) !== undefined).toEqual(true);
  });

  for (const outage of ["busy", "silent"] as const) {
    it(`keeps a runner whose entry expired while the store was ${outage}, and was renewed afterwards`, async () => {
      store.conditions.outage = outage;
      time.after(3_600, () => expire(RUNNER));
      time.after(4_500, () => {
        store.conditions.outage = "none";
      });
      time.after(6_500, () => write(RUNNER));
      for (let atMs = 5_000; atMs < 16_000; atMs += 100) {
        await time.runUntil(atMs);
        expect([atMs, board.ready(RUNNER) !== undefined]).toEqual([atMs, true]);
      }
    });

    it(`removes a runner whose entry expired while the store was ${outage}, and was not renewed`, async () => {
      store.conditions.outage = outage;
      time.after(3_600, () => expire(RUNNER));
      time.after(4_500, () => {
        store.conditions.outage = "none";
      });
      await time.runUntil(15_500);
      expect(board.ready(RUNNER)).toEqual(undefined);
    });
  }

  it("detects in time that a runner is draining when the gateway's open connections to the store stop responding", async () => {
    const late: number[] = [];
    for (let count = 0; count < 40; count += 1) {
      const silentMs = time.nowMs;
      path.silenceConnections();
      time.after(REACHABLE_AFTER_MS / 2, () => write(RUNNER, { state: "draining" }));
      await time.runUntil(silentMs + REACHABLE_AFTER_MS);
      if (board.ready(RUNNER)) late.push(silentMs);
      write(RUNNER);
      await time.runUntil(silentMs + REACHABLE_AFTER_MS + 2_500 + count * PHASE_STEP_MS);
    }
    expect(late).toEqual([]);
  });

  const [FIRST, SECOND] = ["runner-1#1000", "runner-1#2000"] as [RunnerId, RunnerId];
  const STARTS: [what: string, born: (number | undefined)[], listed: RunnerId, previous: RunnerId[]][] = [
    ["renews its entry", [1_000, 1_000], FIRST, [RUNNER]],
    ["restarts", [1_000, 2_000], SECOND, [RUNNER, FIRST]],
    ["restarts, and an earlier write arrives late", [1_000, 2_000, 1_000], SECOND, [RUNNER, FIRST]],
    ["never states its start time", [undefined, undefined], RUNNER, []],
  ];
  for (const [what, born, listed, previous] of STARTS) {
    it(`identifies the incarnation of a runner that ${what}`, async () => {
      for (const [index, start] of born.entries()) {
        time.after(index * 1_000, () => write(RUNNER, { born: start }));
      }
      await time.runUntil(9_000);
      expect(board.ready(listed)?.name as string).toEqual(RUNNER);
      expect(replaced).toEqual(previous);
      expect(previous.filter((id) => board.isListed(id))).toEqual([]);
    });
  }

  it("takes an entry with another software version for another start, whatever it says of its start time", async () => {
    write(RUNNER, { version: "v2" });
    await time.runUntil(7_000);
    expect(replaced).toEqual([RUNNER]);
    expect(board.ready(RUNNER)?.version as string).toEqual("v2");
  });

  it("doesn't carry load and failures of a previous incarnation over to the next", async () => {
    const nowMs = 6_000;
    write(RUNNER, { born: 1_000 });
    await time.runUntil(nowMs);
    const pending = board.recordStart(FIRST, nowMs, 100);
    board.recordReport("other gateway", { inFlight: [[FIRST, 3]], failing: [[FIRST, 0, 4]] }, nowMs);
    expect([board.load(FIRST), board.isOutlier(FIRST, nowMs)]).toEqual([4, true]);
    write(RUNNER, { born: 2_000 });
    await time.runUntil(7_000);
    board.recordEnd(pending, "failure", 7_000);
    expect([board.load(SECOND), board.isOutlier(SECOND, 7_000)]).toEqual([0, false]);
  });

  const UNUSABLE_ROWS: [what: string, overwrite: () => void][] = [
    ["bytes that are not valid text", () => writeBytes(RUNNER, Buffer.from([0xff, 0xfe, 0]))],
    ["an unknown state", () => write(RUNNER, { state: "asleep" })],
    ["no start time although an earlier row had one", () => write(RUNNER)],
  ];
  for (const [what, overwrite] of UNUSABLE_ROWS) {
    it(`gives a runner no new requests while its row has ${what}, and uses the others`, async () => {
      write(RUNNER, { born: 1_000 });
      time.after(1_000, overwrite);
      await time.runUntil(7_000);
      expect([board.ready(FIRST), board.isListed(FIRST)]).toEqual([undefined, true]);
      expect(board.ready(OTHER) !== undefined).toEqual(true);
      write(RUNNER, { born: 1_000 });
      await time.runUntil(8_000);
      expect(board.ready(FIRST) !== undefined).toEqual(true);
    });
  }

  it("limits the log lines about unreadable rows that are written again and again", async () => {
    const overwriteForEver = () => {
      writeBytes("nobody", Buffer.from("[]"));
      time.after(500, overwriteForEver);
    };
    overwriteForEver();
    await time.runUntil(35_000);
    expect(logLines.filter((line) => line.includes("cannot be read")).length).toEqual(3);
  });
});
