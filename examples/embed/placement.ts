/** Places 12 shards on nodes in three zones, and checks that the loss of a node moves no shard that it did not hold. */
import { chooseReplicas } from "../../src/coordination/placement/index.ts";
import { loadTextHash } from "../../src/runtime/text-hash.ts";

/** Runs the example; returns how many of the shards that the lost node did not hold were moved. */
export async function runPlacementExample(): Promise<number> {
  const { hash32 } = await loadTextHash();
  const nodes = Array.from({ length: 9 }, (_, index) => ({
    instance: `node-${index}`,
    address: `10.0.0.${index}:7000`,
    zone: `zone-${index % 3}`,
  }));
  const options = { replicas: 3, shardsPerFamily: 2, hash32 };
  const without = nodes.filter((node) => node.instance !== "node-4");
  const shards = Array.from({ length: 12 }, (_, shard) => shard);
  const untouched = shards.filter(
    (shard) => !chooseReplicas(shard, nodes, options).some((member) => member.instance === "node-4"),
  );
  const same = (shard: number) =>
    chooseReplicas(shard, nodes, options).join() === chooseReplicas(shard, without, options).join();
  return untouched.filter((shard) => !same(shard)).length;
}
