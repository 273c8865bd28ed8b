import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { Transport } from "../../runtime/transport.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayMessage, GatewayRpcSchema } from "../gateway-messages.ts";
import type { MemberDirectory } from "../members/member-directory.ts";
import type { RunnerVersions } from "../runners/runner-versions.ts";

/** Dependencies of the memory of where streams began. */
export interface StreamOriginsParts {
  readonly context: GatewayContext;
  readonly members: Pick<MemberDirectory, "originHolders" | "lostOriginHolders">;
  readonly rpc: RpcEndpoint<GatewayRpcSchema>;
  readonly transport: Pick<Transport<GatewayMessage>, "send">;
  readonly versions: RunnerVersions;
  /** Returns how long callers may take up the same stream, in ms. */
  readonly streamLifetimeMs: () => number;
}
