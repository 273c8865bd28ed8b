/** Which partitions a gateway takes over that hears of others only while it waits. */
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { type OwnerCandidate, preferredOwner } from "../../src/coordination/partition-ownership/index.ts";
import type { GatewayRpcSchema } from "../../src/gateway/gateway-messages.ts";
import type { MemberDirectory } from "../../src/gateway/members/member-directory.ts";
import { PartitionHost } from "../../src/gateway/partitions/partition-host.ts";
import { StoreHealth } from "../../src/gateway/store-health.ts";
import { delay } from "../../src/runtime/clock.ts";
import type { RpcEndpoint } from "../../src/runtime/rpc.ts";
import { RowStoreStandin } from "../../standins/platform/row-store-standin.ts";
import { gatewayContext } from "./support/gateway-parts.ts";

const SELF = "first";
/** Within the time for which a gateway that hears few watches an owner's writes. */
const HEARD_AFTER_MS = 800;
/** Longer than it waits for others and watches, together. */
const CLAIMED_MS = 2_000;

const store = new RowStoreStandin();

describe("a gateway that starts before all others", () => {
  afterEach(() => store.close());

  it("takes over only what falls to it among those that it has heard when it has waited", async () => {
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
    await delay(context.clock, CLAIMED_MS - HEARD_AFTER_MS);
    const partitions = Array.from({ length: context.settings.partitions }, (_, index) => index);
    const mine = partitions.filter((partition) => preferredOwner(partition, all) === SELF);
    expect(host.owned.map(([partition]) => partition).sort()).toEqual(mine);
    expect(mine.length < partitions.length).toEqual(true);
    await host.release();
  });
});
