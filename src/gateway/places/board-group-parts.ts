import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { RunnerGroups } from "./runner-groups.ts";

/** What a BoardGroup looks at. */
export interface BoardGroupParts {
  readonly context: GatewayContext;
  readonly board: RunnerBalancer;
  readonly groups: RunnerGroups;
  /** Tokens that fit into a runner's memory, by the configuration in force. */
  readonly memoryTokens: (pool: string) => number | undefined;
}
