import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { Transport } from "../../runtime/transport.ts";
import type { GatewayMessage, GatewayRpcSchema } from "../gateway-messages.ts";
import type { BoardRunnerGroupParts } from "./board-runner-group-parts.ts";
import type { DispatcherDirectory } from "./dispatcher-directory.ts";
import type { TenantWeights } from "./tenant-weights.ts";

/** The dependencies of a PlaceHost. */
export interface PlaceHostParts extends BoardRunnerGroupParts {
  readonly dispatchers: DispatcherDirectory;
  readonly weights: TenantWeights;
  readonly rpc: RpcEndpoint<GatewayRpcSchema>;
  readonly transport: Pick<Transport<GatewayMessage>, "send">;
}
