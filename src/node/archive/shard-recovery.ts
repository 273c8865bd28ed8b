/**
 * Recovers shards that lost all their replicas from the object store. Only an operator can start a recovery: a node
 * can't tell whether replicas are lost or only unreachable, and starting a second copy of a running shard would make
 * the histories of its programs diverge (split brain).
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

/** The components that shard recovery uses. */
export interface ShardRecoveryParts {
  readonly context: NodeContext;
  readonly shards: ShardHost;
  readonly machines: MachineDirectory;
  readonly table: TableStore;
  readonly archive: ShardArchive;
  readonly placement: PlacementOptions;
  readonly rpc: RpcEndpoint;
}

/** Handles the requests to recover a shard and to start a replica of a recovered shard. */
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

  /** Starts a replica of a recovered shard on this node if the shard's table row lists this instance as a voter. */
  async #adoptFromTable(shard: number): Promise<void> {
    const { context, shards, archive, table } = this.#parts;
    const row = parseShardRow(await table.get(shardRowKey(shard)));
    if (!row) return;
    const { voters, generation, lastIndex } = row;
    const isVoter = voters.some((voter) => voter.instance === context.self.instance);
    const held = shards.get(shard);
    if (!isVoter || (held && held.generation >= generation)) return;
    const archived = await archive.read(shard, generation);
    // All initial replicas of a generation must start from the same state: the one with which the generation began.
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
      "recovering shard from the object store",
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

/** Returns the listed nodes that were not voters of the shard. A former voter may come back with its old journal. */
function listNodesOtherThanVoters(machines: MachineDirectory, { voters }: ShardRow): Member[] {
  return machines
    .liveMembers()
    .filter((member) => !voters.some((voter) => voter.instance === member.instance));
}
