/**
 * Recovers shards that lost all their replicas from the object store. An operator starts it: whether replicas are lost
 * or only out of reach cannot be known from here, and starting a shard that lives elsewhere would split its programs'
 * histories.
 */
import { chooseReplicas, type PlacementOptions } from "../../coordination/placement/index.ts";
import type { Member } from "../../coordination/shard-group/index.ts";
import { requestError } from "../../errors/tulipwheel-error.ts";
import type { RecoverShardResponse, ShardPresenceResponse } from "../../messages/rpc-messages.ts";
import type { TableStore } from "../../ports/table/table-store.ts";
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { NodeContext } from "../node-context.ts";
import type { MachineDirectory } from "../runners/machine-directory.ts";
import type { ShardHost } from "../shard-host.ts";
import { parseShardRow, type ShardRow, shardRowKey } from "../shard-row.ts";
import type { ShardArchive } from "./shard-archive.ts";

const PRESENCE_TIMEOUT_MS = 1_000;
const ADOPT_TIMEOUT_MS = 5_000;

/** What a recovery is made of. */
export interface ShardRecoveryParts {
  readonly context: NodeContext;
  readonly shards: ShardHost;
  readonly machines: MachineDirectory;
  readonly table: TableStore;
  readonly archive: ShardArchive;
  readonly placement: PlacementOptions;
  readonly rpc: RpcEndpoint;
}

/** See the module's comment. */
export class ShardRecovery {
  readonly #parts: ShardRecoveryParts;

  constructor(parts: ShardRecoveryParts) {
    this.#parts = parts;
    parts.rpc.handle("recoverShard", ({ shard }) => this.#recover(shard));
    parts.rpc.handle("shardPresence", async ({ shard, adopt }) => {
      if (adopt) await this.#adoptFromTable(shard);
      return this.#presence(shard);
    });
  }

  /** Starts a recovered shard here, if the table says that this instance is among its first replicas. */
  async #adoptFromTable(shard: number): Promise<void> {
    const { context, shards, archive, table } = this.#parts;
    const row = parseShardRow(await table.get(shardRowKey(shard)));
    if (!row) return;
    const { voters, generation, lastIndex } = row;
    const isVoter = voters.some((voter) => voter.instance === context.self.instance);
    const held = shards.get(shard);
    if (!isVoter || (held && held.generation >= generation)) return;
    const archived = await archive.read(shard, generation);
    // Only the state with which the generation began is the same for all of its first replicas.
    if (archived?.lastIndex === lastIndex) shards.bootstrapFrom(shard, voters, generation, archived);
  }

  #presence(shard: number): ShardPresenceResponse {
    const { context, shards } = this.#parts;
    const { instance } = context.self;
    const replica = shards.get(shard);
    const holds = replica?.membership.voters.some((voter) => voter.instance === instance) ?? false;
    return { instance, holds, generation: replica?.generation ?? 0 };
  }

  async #recover(shard: number): Promise<RecoverShardResponse> {
    const { context, table, archive, machines, placement } = this.#parts;
    const current = await table.get(shardRowKey(shard));
    const row = parseShardRow(current);
    if (!row) throw requestError("not-found", `The table knows no shard ${shard}.`);
    await this.#checkNoReplicaAlive(row);
    const archived = await archive.read(shard, row.generation);
    if (!archived) throw requestError("not-found", `Nothing of shard ${shard} is in the object store.`);
    const voters = chooseReplicas(shard, listNodesOtherThanVoters(machines, row), placement);
    if (voters.length === 0)
      throw requestError("unavailable", "No node is listed that could hold the shard.");
    const generation = row.generation + 1;
    await archive.writeBase(shard, generation, archived);
    const next: ShardRow = { shard, voters, generation, lastIndex: archived.lastIndex };
    const result = await table.transact({
      conditions: [{ key: current.key, version: current.version }],
      writes: [{ key: current.key, value: JSON.stringify(next) }],
    });
    if (result.type === "conflict") {
      throw requestError("configuration-conflict", `Shard ${shard} was changed by somebody else meanwhile.`);
    }
    context.log.warn(
      { shard, generation, lastIndex: archived.lastIndex },
      "recovers shard from the object store",
    );
    await this.#requestAdoption(shard, voters);
    return { generation, programs: archived.state.programs.programs.length, lastIndex: archived.lastIndex };
  }

  async #checkNoReplicaAlive({ shard, voters }: ShardRow): Promise<void> {
    const { rpc } = this.#parts;
    const answers = await Promise.all(
      voters.map(async ({ address, instance }) => {
        const reply = await rpc.ask(address, "shardPresence", { shard, adopt: false }, PRESENCE_TIMEOUT_MS);
        return reply.type === "done" && reply.body.instance === instance && reply.body.holds;
      }),
    );
    const alive = answers.filter((holds) => holds).length;
    if (alive === 0) return;
    throw requestError("shard-alive", `${alive} of ${voters.length} replicas of shard ${shard} answer.`);
  }

  async #requestAdoption(shard: number, voters: readonly Member[]): Promise<void> {
    const { rpc } = this.#parts;
    await Promise.all(
      voters.map(({ address }) =>
        rpc.ask(address, "shardPresence", { shard, adopt: true }, ADOPT_TIMEOUT_MS),
      ),
    );
  }
}

/** Listed nodes that never held the shard: one that did may wake up with a journal of its own. */
function listNodesOtherThanVoters(machines: MachineDirectory, { voters }: ShardRow): Member[] {
  return machines
    .liveMembers()
    .filter((member) => !voters.some((voter) => voter.instance === member.instance));
}
