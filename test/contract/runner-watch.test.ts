/** The list of runners: what lapsed in an outage of the store, and what is gone; who started again; rows of others. */

import { beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { pino } from "pino";
import { CONTACT_MS } from "../../bench/simulation/gateways/contact-record.ts";
import { SharedStore, SimulatedRowStore } from "../../bench/simulation/gateways/simulated-row-store.ts";
import { SimulatedProcess, VirtualTime } from "../../bench/simulation/virtual-time.ts";
import { RunnerWatch } from "../../src/gateway/runners/runner-watch.ts";
import { StoreHealth } from "../../src/gateway/store-health.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import { RunnerBoard } from "../../src/scheduling/runner-board/runner-board.ts";
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
/** Moves each trouble to another moment of a wait for changes, in ms. */
const PHASE_STEP_MS = 37;
/** Runners renew their entries this often, in ms. */
const RENEWAL_INTERVAL_MS = 1_200;

let time: VirtualTime;
let store: SharedStore;
let path: SimulatedRowStore;
let board: RunnerBoard;
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
    board = new RunnerBoard();
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

  it("drops an entry that goes while the store is up", async () => {
    expire(RUNNER);
    await time.runUntil(6_000);
    expect(board.ready(RUNNER)).toEqual(undefined);
    expect(board.ready(OTHER) !== undefined).toEqual(true);
  });

  for (const outage of ["busy", "silent"] as const) {
    it(`goes on with a runner whose entry lapsed while the store was ${outage}, and came back`, async () => {
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

    it(`drops a runner that went while the store was ${outage}, and did not come back`, async () => {
      store.conditions.outage = outage;
      time.after(3_600, () => expire(RUNNER));
      time.after(4_500, () => {
        store.conditions.outage = "none";
      });
      await time.runUntil(15_500);
      expect(board.ready(RUNNER)).toEqual(undefined);
    });
  }

  it("knows in time that a runner leaves where its open connections to the store fall silent", async () => {
    const late: number[] = [];
    for (let count = 0; count < 40; count += 1) {
      const silentMs = time.nowMs;
      path.silenceConnections();
      time.after(CONTACT_MS / 2, () => write(RUNNER, { state: "draining" }));
      await time.runUntil(silentMs + CONTACT_MS);
      if (board.ready(RUNNER)) late.push(silentMs);
      write(RUNNER);
      await time.runUntil(silentMs + CONTACT_MS + 2_500 + count * PHASE_STEP_MS);
    }
    expect(late).toEqual([]);
  });

  const [FIRST, SECOND] = ["runner-1#1000", "runner-1#2000"] as [RunnerId, RunnerId];
  const STARTS: [what: string, born: (number | undefined)[], listed: RunnerId, previous: RunnerId[]][] = [
    ["writes again", [1_000, 1_000], FIRST, [RUNNER]],
    ["starts again", [1_000, 2_000], SECOND, [RUNNER, FIRST]],
    ["starts again, and a write of before comes late", [1_000, 2_000, 1_000], SECOND, [RUNNER, FIRST]],
    ["never tells its start", [undefined, undefined], RUNNER, []],
  ];
  for (const [what, born, listed, previous] of STARTS) {
    it(`knows the start of a runner that ${what}`, async () => {
      for (const [index, start] of born.entries()) {
        time.after(index * 1_000, () => write(RUNNER, { born: start }));
      }
      await time.runUntil(9_000);
      expect(board.ready(listed)?.name as string).toEqual(RUNNER);
      expect(replaced).toEqual(previous);
      expect(previous.filter((id) => board.listed(id))).toEqual([]);
    });
  }

  it("asks nothing new of a start that has ended, and thinks nothing ill of the next", async () => {
    const nowMs = 6_000;
    write(RUNNER, { born: 1_000 });
    await time.runUntil(nowMs);
    const pending = board.started(FIRST, nowMs, 100);
    board.report("other gateway", { inFlight: [[FIRST, 3]], failing: [[FIRST, 0, 4]] }, nowMs);
    expect([board.load(FIRST), board.isOutlier(FIRST, nowMs)]).toEqual([4, true]);
    write(RUNNER, { born: 2_000 });
    await time.runUntil(7_000);
    board.ended(pending, "failure", 7_000);
    expect([board.load(SECOND), board.isOutlier(SECOND, 7_000)]).toEqual([0, false]);
  });

  const UNUSABLE_ROWS: [what: string, overwrite: () => void][] = [
    ["bytes that are no text", () => writeBytes(RUNNER, Buffer.from([0xff, 0xfe, 0]))],
    ["a state that is not known", () => write(RUNNER, { state: "asleep" })],
    ["no time of a start that was told before", () => write(RUNNER)],
  ];
  for (const [what, overwrite] of UNUSABLE_ROWS) {
    it(`gives a runner nothing new while its row has ${what}, and all others work`, async () => {
      write(RUNNER, { born: 1_000 });
      time.after(1_000, overwrite);
      await time.runUntil(7_000);
      expect([board.ready(FIRST), board.listed(FIRST)]).toEqual([undefined, true]);
      expect(board.ready(OTHER) !== undefined).toEqual(true);
      write(RUNNER, { born: 1_000 });
      await time.runUntil(8_000);
      expect(board.ready(FIRST) !== undefined).toEqual(true);
    });
  }

  it("notes rows that it cannot read without end in few lines", async () => {
    const overwriteForEver = () => {
      writeBytes("nobody", Buffer.from("[]"));
      time.after(500, overwriteForEver);
    };
    overwriteForEver();
    await time.runUntil(35_000);
    expect(logLines.filter((line) => line.includes("cannot be read")).length).toEqual(3);
  });
});
