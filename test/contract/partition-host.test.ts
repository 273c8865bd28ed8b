/** Takeover of partitions: handed-over limits, lost responses, and gateways that become known only during the wait. */
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { type OwnerCandidate, preferredOwner } from "../../src/coordination/partition-ownership/index.ts";
import type { GatewayRpcSchema } from "../../src/gateway/gateway-messages.ts";
import type { MemberDirectory } from "../../src/gateway/members/member-directory.ts";
import { PartitionHost, type PartitionOwnership } from "../../src/gateway/partitions/partition-host.ts";
import {
  decodeOwner,
  encodeOwner,
  NO_OWNER,
  ownerKey,
  storePartOf,
} from "../../src/gateway/partitions/partition-rows.ts";
import { StoreHealth } from "../../src/gateway/store-health.ts";
import { delay } from "../../src/runtime/clock.ts";
import type { RpcEndpoint } from "../../src/runtime/rpc.ts";
import { RowStoreStandin } from "../../standins/platform/row-store-standin.ts";
import { gatewayContext } from "./support/gateway-parts.ts";

const SELF = "first";
const PARTITION = 1;
/** Within the time for which a gateway that hears few others watches the owner row. */
const HEARD_AFTER_MS = 800;
/** Longer than the wait for other gateways and the watch of the owner row together. */
const CLAIM_WAIT_MS = 2_000;

const OWNERSHIP_TIMEOUT_MS = 3_000;
const RATES = { tokens: [["tenant", 3] as const], filledForMs: undefined };

/** Member directory of a gateway that knows no other gateways. */
const NO_OTHER_GATEWAYS = {
  hasSettled: true,
  hearsMost: true,
  mayOwn: () => false,
  liveAddresses: () => [],
  tick: () => undefined,
};
const NO_RPC = { handle: () => undefined } as unknown as RpcEndpoint<GatewayRpcSchema>;

describe("takeover of a released partition", () => {
  let store: RowStoreStandin;
  beforeEach(() => {
    store = new RowStoreStandin();
  });
  afterEach(() => store.close());

  /** Lets a gateway take over partition 1 during a short fault; returns its ownership. */
  async function takeOver(injectFault: () => Promise<void>): Promise<PartitionOwnership | undefined> {
    const context = await gatewayContext(SELF, await store.listen());
    const members = {
      ...NO_OTHER_GATEWAYS,
      ownerCandidates: () => [{ name: SELF, hash: 1 }],
    } as unknown as MemberDirectory;
    const value = encodeOwner({ instance: NO_OWNER, commit: 5, rates: RATES }).toString("base64");
    store.model.transact({ conditions: [], puts: [{ ...ownerKey(PARTITION), value }], removes: [] });
    const host = new PartitionHost(context, members, new StoreHealth(context), NO_RPC);
    host.start();
    await injectFault();
    const untilMs = performance.now() + OWNERSHIP_TIMEOUT_MS;
    while (!host.ownership(PARTITION) && performance.now() < untilMs) await delay(context.clock, 10);
    const ownership = host.ownership(PARTITION);
    await host.release();
    return ownership;
  }

  /** Resolves once the owner row names the gateway. */
  async function waitUntilClaimed(): Promise<void> {
    const { table, part } = ownerKey(PARTITION);
    for (;;) {
      const [row] = store.model.read(table, part, "", undefined);
      const owner = row && decodeOwner(Buffer.from(row.value ?? "", "base64"));
      if (owner && owner.instance !== NO_OWNER) return;
      await new Promise((resolve) => setTimeout(resolve, 2));
    }
  }

  it("continues with the rate limits that were handed over", async () => {
    const ownership = await takeOver(async () => undefined);
    expect(ownership?.rates).toEqual(RATES);
  });

  // Guards against refusing tenants that are below their limits after a planned stop.
  it("continues with them if the store's response to its claim was lost", async () => {
    const ownership = await takeOver(async () => {
      store.partFaults.set(storePartOf(PARTITION), "lostAnswer");
      await waitUntilClaimed();
      store.partFaults.clear();
    });
    expect([ownership?.rates, ownership?.unreleasedOwner]).toEqual([RATES, undefined]);
  });

  it("continues with them if it could not read the accounts at first", async () => {
    const ownership = await takeOver(async () => {
      await waitUntilClaimed();
      store.partFaults.set(storePartOf(PARTITION), "busy");
      await new Promise((resolve) => setTimeout(resolve, 300));
      store.partFaults.clear();
    });
    expect([ownership?.rates, ownership?.unreleasedOwner]).toEqual([RATES, undefined]);
  });
});

describe("takeover by a gateway that starts before all others", () => {
  const store = new RowStoreStandin();
  afterEach(() => store.close());

  it("claims only its share among the gateways that it knows after the wait", async () => {
    const context = await gatewayContext(SELF, await store.listen());
    const candidate = (name: string): OwnerCandidate => ({ name, hash: context.hash.hash32(name) });
    const all = [SELF, "second", "third"].map(candidate);
    let heard = [candidate(SELF)];
    const members = {
      ownerCandidates: () => heard,
      hasSettled: false,
      hearsMost: false,
      mayOwn: () => false,
      liveAddresses: () => [],
      tick: () => undefined,
    } as unknown as MemberDirectory;
    const rpc = { handle: () => undefined } as unknown as RpcEndpoint<GatewayRpcSchema>;
    const host = new PartitionHost(context, members, new StoreHealth(context), rpc);
    host.start();
    await delay(context.clock, HEARD_AFTER_MS);
    heard = all;
    await delay(context.clock, CLAIM_WAIT_MS - HEARD_AFTER_MS);
    const partitions = Array.from({ length: context.settings.partitions }, (_, index) => index);
    const expected = partitions.filter((partition) => preferredOwner(partition, all) === SELF);
    expect(host.owned.map(([partition]) => partition).sort()).toEqual(expected);
    expect(expected.length < partitions.length).toEqual(true);
    await host.release();
  });
});
