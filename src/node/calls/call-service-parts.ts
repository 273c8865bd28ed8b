import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { BudgetService } from "../budgets/budget-service.ts";
import type { ConfigurationService } from "../configuration/configuration-service.ts";
import type { NodeContext } from "../node-context.ts";
import type { ShardCommitter } from "../shard-committer.ts";
import type { ShardHost } from "../shard-host.ts";
import type { CompletionExecutor } from "./completion-executor.ts";
import type { DecisionBuilder } from "./decision-builder.ts";
import type { ServiceCallExecutor } from "./service-call-executor.ts";

/** The components that call handling depends on. */
export interface CallServiceParts {
  readonly context: NodeContext;
  readonly shards: ShardHost;
  readonly configuration: ConfigurationService;
  readonly budgets: BudgetService;
  readonly completions: CompletionExecutor;
  readonly services: ServiceCallExecutor;
  readonly decisions: DecisionBuilder;
  readonly committer: ShardCommitter;
  readonly rpc: RpcEndpoint;
}

/** Counts of calls since the start of the process. */
export interface CallCounters {
  answered: number;
  failed: number;
  refused: number;
  takenOver: number;
}
