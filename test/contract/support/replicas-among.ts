import type { GatewayContext } from "../../../src/gateway/gateway-context.ts";
import type { GatewayRpcSchema } from "../../../src/gateway/gateway-messages.ts";
import { PartitionReplicas } from "../../../src/gateway/replicas/partition-replicas.ts";
import type { Replica } from "../../../src/gateway/replicas/replica.ts";
import { RpcEndpoint } from "../../../src/runtime/rpc.ts";

const NO_TRANSPORT = { send: () => undefined };

/** The replicas of a partition, all of them alive; without an endpoint, none of them answers. */
export function replicasAmong(
  replicas: readonly Replica[],
  context: GatewayContext,
  epoch: number,
  rpc = new RpcEndpoint<GatewayRpcSchema>(NO_TRANSPORT, context.clock, context.random),
): PartitionReplicas {
  const candidates = {
    choose: () => replicas,
    isAlive: () => true,
    isGone: () => false,
    wasPaused: () => false,
  };
  return new PartitionReplicas(
    { context, rpc, candidates, partition: 1, epoch, rowOwner: context.instance, onFenced: () => undefined },
    replicas,
    [],
  );
}
