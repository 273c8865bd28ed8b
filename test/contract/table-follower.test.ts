/** Tests how long each wait of a table follower for changes is. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { SharedStore, SimulatedRowStore } from "../../bench/simulation/gateways/simulated-row-store.ts";
import { SimulatedProcess, VirtualTime } from "../../bench/simulation/virtual-time.ts";
import { TableFollower } from "../../src/gateway/configuration/table-follower.ts";
import { StoreHealth } from "../../src/gateway/store-health.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { gatewayContext } from "./support/gateway-parts.ts";

describe("table follower", () => {
  for (const [maxStalenessMs, expectedMs] of [
    [2_000, 1_000],
    [1_505, 752],
    [12_000, 2_000],
  ] as const) {
    it(`waits for whole milliseconds, half of the staleness of ${maxStalenessMs} ms and two seconds at most`, async () => {
      const time = new VirtualTime();
      const clock = new SimulatedProcess("gateway", "zone-a", time);
      const store = new SimulatedRowStore(new SharedStore(time, new SeededRandomSource(1)), clock);
      const waits: number[] = [];
      const watch = store.watch.bind(store);
      store.watch = (table, version, waitMs) => {
        waits.push(waitMs);
        return watch(table, version, waitMs);
      };
      const given = await gatewayContext("gateway", "127.0.0.1:1");
      const context = { ...given, clock, platform: { ...given.platform, store } };
      const listener = { onTable: () => undefined, onChanges: () => undefined };
      new TableFollower(context, new StoreHealth(context), "table", listener, { maxStalenessMs }).start();
      await time.runUntil(5_000);
      expect(new Set(waits)).toEqual(new Set([expectedMs]));
    });
  }
});
