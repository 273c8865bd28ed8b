import { describe, it } from "node:test";
import { expect } from "earl";
import { runBudgetEscrowExample } from "../../examples/embed/budget-escrow.ts";
import { runConfigurationChainExample } from "../../examples/embed/configuration-chain.ts";
import { runPlacementExample } from "../../examples/embed/placement.ts";
import { runRequestRateExample } from "../../examples/embed/request-rate.ts";
import { runShardGroupExample } from "../../examples/embed/shard-group.ts";
import { runSnapshotRelayExample } from "../../examples/embed/snapshot-relay.ts";

describe("embedding examples", () => {
  it("replicate a counter with a shard group", () => expect(runShardGroupExample()).toEqual([5, 5, 5]));
  it("share a budget", () => expect(runBudgetEscrowExample()).toEqual([true, false, true, true]));
  it("replicate a configuration", () => expect(runConfigurationChainExample()).toEqual(["20", "20"]));
  it("limit the request rate of a tenant", () => expect(runRequestRateExample()).toEqual([5, 3, 3, 0, 2]));
  it("distribute a snapshot", () => expect(runSnapshotRelayExample()).toEqual([true, 210]));
  it("place replicas", async () => expect(await runPlacementExample()).toEqual(0));
});
