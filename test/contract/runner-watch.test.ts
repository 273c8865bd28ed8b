/** The list of runners through outages of the store: what lapsed meanwhile, and what is gone. */

import { beforeEach, describe, it } from "node:test";
import { expect } from "earl";
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
/** Runners renew their entries this often, in ms. */
const RENEW_MS = 1_200;

let time: VirtualTime;
let store: SharedStore;
let board: RunnerBoard;
let sequence: number;

function write(id: string): void {
  sequence += 1;
  const entry = { service: "pool", address: UNUSED, zone: "zone-a", slots: 4, state: "ready", sequence };
  const value = Buffer.from(JSON.stringify(entry)).toString("base64");
  store.model.transact({ conditions: [], puts: [{ table: TABLE, part: "", key: id, value }], removes: [] });
}

function lapse(id: string): void {
  store.model.transact({ conditions: [], puts: [], removes: [{ table: TABLE, part: "", key: id }] });
}

function renewForEver(id: string): void {
  write(id);
  time.after(RENEW_MS, () => renewForEver(id));
}

describe("list of runners", () => {
  beforeEach(async () => {
    time = new VirtualTime();
    store = new SharedStore(time, new SeededRandomSource(1));
    board = new RunnerBoard();
    sequence = 0;
    const clock = new SimulatedProcess("gateway", "zone-a", time);
    const context = await gatewayContext("gateway", UNUSED);
    const platform = { ...context.platform, store: new SimulatedRowStore(store, clock) };
    const simulated = { ...context, clock, platform };
    write(RUNNER);
    renewForEver(OTHER);
    new RunnerWatch(simulated, new StoreHealth(simulated), board).start();
    await time.runUntil(5_000);
  });

  it("drops an entry that goes while the store is up", async () => {
    lapse(RUNNER);
    await time.runUntil(6_000);
    expect(board.ready(RUNNER)).toEqual(undefined);
    expect(board.ready(OTHER) !== undefined).toEqual(true);
  });

  for (const outage of ["busy", "silent"] as const) {
    it(`goes on with a runner whose entry lapsed while the store was ${outage}, and came back`, async () => {
      store.conditions.outage = outage;
      time.after(3_600, () => lapse(RUNNER));
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
      time.after(3_600, () => lapse(RUNNER));
      time.after(4_500, () => {
        store.conditions.outage = "none";
      });
      await time.runUntil(15_500);
      expect(board.ready(RUNNER)).toEqual(undefined);
    });
  }
});
