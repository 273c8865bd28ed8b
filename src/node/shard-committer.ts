import { RedirectSignal, type RpcEndpoint } from "../runtime/rpc.ts";
import type { ShardRouter } from "../runtime/shard-router.ts";
import type { ApplyResult } from "../scheduling/program/program-table.ts";
import type { ShardCommand } from "../scheduling/shard-state.ts";
import type { ShardHost } from "./shard-host.ts";

/** How long a node that lost leadership of a shard keeps trying to commit a command through the leader, in ms. */
const COMMIT_TIMEOUT_MS = 15_000;

/**
 * Commits commands on a shard, on this node if it leads the shard or else through the leader. A command whose response
 * is lost is sent again, so this may only be used for commands that check whether they still apply.
 */
export class ShardCommitter {
  readonly #shards: ShardHost;
  readonly #router: ShardRouter;

  constructor(shards: ShardHost, router: ShardRouter, rpc: RpcEndpoint) {
    this.#shards = shards;
    this.#router = router;
    rpc.handle("commit", async ({ shard, command }) => ({
      result: await shards.propose(shards.ledReplica(shard), command),
    }));
  }

  /**
   * Commits a command. Throws if no leader can be reached within the timeout, or within `minPatienceMs` if that is longer.
   */
  async commit(shard: number, command: ShardCommand, minPatienceMs = 0): Promise<ApplyResult> {
    const replica = this.#shards.get(shard);
    if (replica?.leads) {
      try {
        return await this.#shards.propose(replica, command);
      } catch (error) {
        if (!(error instanceof RedirectSignal)) throw error;
      }
    }
    const timeoutMs = Math.max(COMMIT_TIMEOUT_MS, minPatienceMs);
    const response = await this.#router.ask(shard, "commit", { shard, command }, timeoutMs);
    return response.result;
  }
}
