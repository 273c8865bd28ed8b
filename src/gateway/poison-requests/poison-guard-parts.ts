import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { Transport } from "../../runtime/transport.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayMessage, GatewayRpcSchema } from "../gateway-messages.ts";
import type { MemberDirectory } from "../members/member-directory.ts";
import type { RunnerEndDetector } from "../runners/runner-end-detector.ts";

/** Dependencies of the guard against requests that end runners. */
export interface PoisonGuardParts {
  readonly context: GatewayContext;
  readonly members: Pick<MemberDirectory, "poisonGuards" | "lostPoisonGuards">;
  readonly rpc: Pick<RpcEndpoint<GatewayRpcSchema>, "ask" | "handle">;
  readonly transport: Pick<Transport<GatewayMessage>, "send" | "self">;
  readonly detector: RunnerEndDetector;
}
