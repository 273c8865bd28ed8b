import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { Transport } from "../../runtime/transport.ts";
import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayMessage, GatewayRpcSchema } from "../gateway-messages.ts";
import type { DispatcherDirectory } from "./dispatcher-directory.ts";
import type { PoolScarcity } from "./pool-scarcity.ts";
import type { RunnerGroups } from "./runner-groups.ts";

/** The dependencies of a PlaceClient. */
export interface PlaceClientParts {
  readonly context: GatewayContext;
  readonly board: RunnerBalancer;
  readonly groups: RunnerGroups;
  readonly scarcity: PoolScarcity;
  readonly dispatchers: DispatcherDirectory;
  readonly rpc: RpcEndpoint<GatewayRpcSchema>;
  readonly transport: Pick<Transport<GatewayMessage>, "send">;
}
