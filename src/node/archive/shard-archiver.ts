/**
 * Writes the committed commands of shards to the object store in batches. A shard that loses all its replicas can be
 * recovered up to the last batch. Only leaders write, and a new leader starts with a base, which is the complete state.
 * While the store is unavailable, commands are buffered up to a limit. Beyond it they are dropped and a base is written
 * later instead, since the state is in memory anyway.
 */
import { repeat } from "../../runtime/clock.ts";
import type { ShardCommand } from "../../scheduling/shard-state.ts";
import type { NodeContext } from "../node-context.ts";
import type { ShardHost } from "../shard-host.ts";
import type { ShardReplica } from "../shard-replica.ts";
import type { ShardArchive } from "./shard-archive.ts";

/** The commands of a shard that are committed but not archived yet, and the progress of archiving. */
interface Pending {
  readonly term: number;
  /** The last archived index. Undefined if a base must be written next. */
  archivedIndex: number | undefined;
  commands: ShardCommand[];
  sinceBase: number;
  writing: boolean;
}

/** When more commands than this were archived since the last base, a new base is written instead of a segment. */
const COMMANDS_PER_BASE = 2_000;
/** Maximum number of commands that are buffered while the store is unavailable. */
const MAX_PENDING_COMMANDS = 5_000;

/** Archives the shards that this node leads at a fixed interval. */
export class ShardArchiver {
  readonly #context: NodeContext;
  readonly #shards: ShardHost;
  readonly #archive: ShardArchive;
  readonly #pending = new Map<number, Pending>();
  #stop: () => void = () => undefined;

  constructor(context: NodeContext, shards: ShardHost, archive: ShardArchive) {
    this.#context = context;
    this.#shards = shards;
    this.#archive = archive;
    shards.observe({
      onLeadershipChanged: (replica) => this.#onLeadershipChanged(replica),
      onApplied: (replica, command) => this.#onApplied(replica, command),
    });
  }

  /** Starts the periodic writes. */
  start(): void {
    const { clock, settings } = this.#context;
    this.#stop = repeat(clock, settings.timing.archiveMs, () => void this.flush());
  }

  /** Stops the periodic writes. */
  stop(): void {
    this.#stop();
  }

  /** Writes the pending commands of every shard that this node leads. */
  async flush(): Promise<void> {
    await Promise.all([...this.#pending.keys()].map((shard) => this.#flushShard(shard)));
  }

  #onLeadershipChanged(replica: ShardReplica): void {
    if (!replica.leads) return void this.#pending.delete(replica.shard);
    const { term, shard } = replica;
    this.#pending.set(shard, { term, archivedIndex: undefined, commands: [], sinceBase: 0, writing: false });
  }

  #onApplied(replica: ShardReplica, command: ShardCommand): void {
    const pending = this.#pending.get(replica.shard);
    if (!pending || pending.archivedIndex === undefined) return;
    pending.commands.push(command);
    if (pending.commands.length <= MAX_PENDING_COMMANDS) return;
    pending.commands = [];
    pending.archivedIndex = undefined;
  }

  async #flushShard(shard: number): Promise<void> {
    const pending = this.#pending.get(shard);
    const replica = this.#shards.get(shard);
    if (!pending || !replica?.leads || replica.term !== pending.term || pending.writing) return;
    pending.writing = true;
    try {
      if (pending.archivedIndex === undefined || pending.sinceBase > COMMANDS_PER_BASE) {
        await this.#writeBase(replica, pending);
      } else if (pending.commands.length > 0) {
        await this.#writeSegment(replica, pending, pending.archivedIndex);
      }
    } catch {
      // The store did not respond. The next flush retries.
    } finally {
      pending.writing = false;
    }
  }

  async #writeBase(replica: ShardReplica, pending: Pending): Promise<void> {
    const lastIndex = replica.appliedIndex;
    const state = replica.state.toSnapshot();
    pending.commands = [];
    pending.archivedIndex = lastIndex;
    try {
      await this.#archive.writeBase(replica.shard, replica.generation, { lastIndex, state });
      pending.sinceBase = 0;
    } catch (error) {
      pending.archivedIndex = undefined;
      throw error;
    }
  }

  async #writeSegment(replica: ShardReplica, pending: Pending, afterIndex: number): Promise<void> {
    const { commands } = pending;
    const lastIndex = replica.appliedIndex;
    pending.commands = [];
    pending.archivedIndex = lastIndex;
    try {
      await this.#archive.writeSegment(replica.shard, replica.generation, afterIndex, lastIndex, commands);
      pending.sinceBase += commands.length;
    } catch (error) {
      // It is unknown whether the write took effect. Writing a base next is correct in both cases.
      pending.commands = [];
      pending.archivedIndex = undefined;
      throw error;
    }
  }
}
