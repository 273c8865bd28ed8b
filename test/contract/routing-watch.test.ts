/** Tests that no gateway trusts a revoked key for longer than promised, whatever faults delay the new configuration. */
import { describe, it } from "node:test";
import { expect } from "earl";
import {
  SharedStore,
  SimulatedRowStore,
  type StorePath,
} from "../../bench/simulation/gateways/simulated-row-store.ts";
import { spreadSeed } from "../../bench/simulation/spread-seed.ts";
import { SimulatedProcess, VirtualTime } from "../../bench/simulation/virtual-time.ts";
import { digestOf } from "../../platform/key-digest.ts";
import { RoutingWatch } from "../../src/gateway/configuration/routing-watch.ts";
import { StoreHealth } from "../../src/gateway/store-health.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { gatewayContext } from "./support/gateway-parts.ts";

const UNUSED = "127.0.0.1:1";
const REVOKE_MS = 5_000;
const END_MS = 60_000;
const CHECK_INTERVAL_MS = 20;
const KEYS = ["first", "second", "third", "fourth"];
const PATHS: readonly StorePath[] = ["open", "open", "cut", "answersLost"];

interface Setup {
  readonly time: VirtualTime;
  readonly store: SharedStore;
  readonly random: SeededRandomSource;
  readonly clock: SimulatedProcess;
  readonly path: SimulatedRowStore;
  readonly watch: RoutingWatch;
  /** Writes a configuration with the given keys. */
  readonly configure: (keys: readonly string[]) => void;
  readonly accepts: (key: string) => boolean;
}

async function start(seed: number): Promise<Setup> {
  const time = new VirtualTime();
  const random = new SeededRandomSource(seed);
  const store = new SharedStore(time, random);
  const clock = new SimulatedProcess("gateway", "zone-a", time);
  const path = new SimulatedRowStore(store, clock);
  const context = await gatewayContext("gateway", UNUSED);
  const settings = { ...context.settings, keys: { revokeMs: REVOKE_MS } };
  const simulated = { ...context, settings, clock, platform: { ...context.platform, store: path } };
  const watch = new RoutingWatch(simulated, new StoreHealth(simulated));
  let version = 0;
  const configure = (keys: readonly string[]): void => {
    version += 1;
    const configuration = {
      version,
      routes: [],
      services: [],
      limits: {},
      tenants: [{ name: "tenant", "api-keys": keys }],
    };
    const value = Buffer.from(JSON.stringify(configuration)).toString("base64");
    const put = { table: "op", part: "", key: "config", value };
    store.model.transact({ conditions: [], puts: [put], removes: [] });
  };
  const accepts = (key: string) => watch.canTrustKeys && watch.routes?.tenantOf(digestOf(key)) !== undefined;
  configure(KEYS);
  watch.start();
  return { time, store, random, clock, path, watch, configure, accepts };
}

describe("API keys", () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    it(`are not trusted for longer than promised after their revocation, seed ${seed}`, async () => {
      const { time, store, random, clock, path, configure, accepts } = await start(spreadSeed(seed));
      const remainingKeys = [...KEYS];
      const revokedAtMs = new Map<string, number>();
      const injectFault = (): void => {
        path.path = PATHS[random.below(PATHS.length)] ?? "open";
        store.conditions.outage = random.unit() < 0.2 ? "busy" : "none";
        if (random.unit() < 0.2) store.model.compact();
        if (random.unit() < 0.2) {
          clock.freeze();
          time.after(random.unit() * 6_000, () => clock.wake());
        }
        time.after(500 + random.unit() * 6_000, injectFault);
      };
      const revoke = (): void => {
        const key = remainingKeys.pop();
        if (key === undefined) return;
        configure(remainingKeys);
        revokedAtMs.set(key, time.nowMs);
        time.after(random.unit() * 15_000, revoke);
      };
      time.after(3_000, injectFault);
      time.after(3_000 + random.unit() * 10_000, revoke);
      for (let nowMs = 0; nowMs < END_MS; nowMs += CHECK_INTERVAL_MS) {
        await time.runUntil(nowMs);
        if (clock.frozen) continue;
        for (const [key, atMs] of revokedAtMs)
          if (nowMs - atMs > REVOKE_MS)
            expect([seed, key, nowMs, accepts(key)]).toEqual([seed, key, nowMs, false]);
      }
    });
  }

  it("are rejected promptly after their revocation when the store is reachable, and all others stay valid", async () => {
    const { time, configure, accepts } = await start(1);
    await time.runUntil(10_000);
    expect(KEYS.map(accepts)).toEqual([true, true, true, true]);
    configure(["first"]);
    await time.runUntil(10_400);
    expect(KEYS.map(accepts)).toEqual([true, false, false, false]);
    await time.runUntil(30_000);
    expect(accepts("first")).toEqual(true);
  });

  it("are all rejected in an outage that lasts longer than the promised time, and not before", async () => {
    const { time, store, accepts } = await start(1);
    await time.runUntil(10_000);
    store.conditions.outage = "busy";
    // When the outage begins, the last confirmation is not older than one wait and its answer.
    await time.runUntil(10_000 + REVOKE_MS - 1_000 - 1_100);
    expect(accepts("first")).toEqual(true);
    await time.runUntil(10_000 + REVOKE_MS);
    expect(accepts("first")).toEqual(false);
    store.conditions.outage = "none";
    await time.runUntil(16_500);
    expect(accepts("first")).toEqual(true);
  });
});
