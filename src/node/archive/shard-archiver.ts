/**
 * Writes what shards commit into the object store, in groups, so that a shard that loses all its replicas can be
 * recovered up to the last group. Only leaders write; a new leader begins with a whole state. While the store is out,
 * commands gather up to a bound and are then dropped for a whole state later: the state is in memory in any case.
 */
import { repeat } from "../../runtime/clock.ts";
import type { ShardCommand } from "../../scheduling/shard-state.ts";
import type { NodeContext } from "../node-context.ts";
import type { ShardHost } from "../shard-host.ts";
import type { ShardReplica } from "../shard-replica.ts";
import type { ShardArchive } from "./shard-archive.ts";

/** What has been committed and not yet archived. */
interface Pending {
  readonly term: number;
  /** Last index that is archived; undefined when a whole state is due. */
  archivedIndex: number | undefined;
  commands: ShardCommand[];
  sinceBase: number;
  writing: boolean;
}

/** Commands after which a whole state is written in place of one more segment. */
const COMMANDS_PER_BASE = 2_000;
/** Commands that may gather while the store is out. */
const MAX_PENDING_COMMANDS = 5_000;

/** See the module's comment. */
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

  /** Starts writing. */
  start(): void {
    const { clock, settings } = this.#context;
    this.#stop = repeat(clock, settings.timing.archiveMs, () => void this.flush());
  }

  /** Stops writing. */
  stop(): void {
    this.#stop();
  }

  /** Writes what every led shard has committed. */
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
      // The store does not answer: the next flush tries again.
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
      // The write may have taken effect or not; a whole state is right in either case.
      pending.commands = [];
      pending.archivedIndex = undefined;
      throw error;
    }
  }
}
