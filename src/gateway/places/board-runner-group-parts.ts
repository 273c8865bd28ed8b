import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { RunnerGroups } from "./runner-groups.ts";

/** The dependencies of a BoardRunnerGroup. */
export interface BoardRunnerGroupParts {
  readonly context: GatewayContext;
  readonly board: RunnerBalancer;
  readonly groups: RunnerGroups;
  /** The number of tokens that fit into the memory of a pool's runner, by the configuration in force. */
  readonly memoryTokens: (pool: string) => number | undefined;
}
