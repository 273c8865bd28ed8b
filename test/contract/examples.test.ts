import { describe, it } from "node:test";
import { expect } from "earl";
import { runBudgetEscrowExample } from "../../examples/embed/budget-escrow.ts";
import { runConfigurationChainExample } from "../../examples/embed/configuration-chain.ts";
import { runPlacementExample } from "../../examples/embed/placement.ts";
import { runRequestRateExample } from "../../examples/embed/request-rate.ts";
import { runShardGroupExample } from "../../examples/embed/shard-group.ts";
import { runSnapshotRelayExample } from "../../examples/embed/snapshot-relay.ts";

describe("examples that embed one part alone", () => {
  it("replicate with a shard group", () => expect(runShardGroupExample()).toEqual([5, 5, 5]));
  it("share a budget", () => expect(runBudgetEscrowExample()).toEqual([true, false, true, true]));
  it("follow a configuration", () => expect(runConfigurationChainExample()).toEqual(["20", "20"]));
  it("bound what tenants send", () => expect(runRequestRateExample()).toEqual([5, 3, 3, 0, 2]));
  it("spread a snapshot", () => expect(runSnapshotRelayExample()).toEqual([true, 210]));
  it("place replicas", async () => expect(await runPlacementExample()).toEqual(0));
});
