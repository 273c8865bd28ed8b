import type { Member, ShardGroupMessage } from "../coordination/shard-group/index.ts";
import type { ShardAcknowledgements, ShardHeartbeats, ShardMessage } from "../messages/shard-messages.ts";
import { RedirectSignal } from "../runtime/rpc.ts";
import { programOfCall, rootOfProgram } from "../scheduling/program/program-id.ts";
import type { ApplyResult } from "../scheduling/program/program-table.ts";
import type { ShardCommand } from "../scheduling/shard-state.ts";
import type { ArchivedState } from "./archive/shard-archive.ts";
import type { NodeContext } from "./node-context.ts";
import { ShardOutbox } from "./shard-outbox.ts";
import { ShardReplica, type ShardReplicaHost } from "./shard-replica.ts";

/** Callbacks for changes of a shard to which other components of the node react. */
export interface ShardObserver {
  /** Called when this node becomes or stops being the leader of the shard. */
  onLeadershipChanged?(replica: ShardReplica): void;
  /** Called when a command was applied to the local replica. */
  onApplied?(replica: ShardReplica, command: ShardCommand, result: ApplyResult): void;
}

const SEED_LIMIT = 2 ** 30;

/** All shard replicas of one node. */
export class ShardHost implements ShardReplicaHost {
  readonly #context: NodeContext;
  readonly #replicas = new Map<number, ShardReplica>();
  readonly #observers: ShardObserver[] = [];
  readonly #ledShards = new Set<number>();
  readonly #outbox: ShardOutbox;

  constructor(context: NodeContext) {
    this.#context = context;
    this.#outbox = new ShardOutbox(context.self, (to, message) => context.transport.send(to, message));
  }

  /** Adds an observer. */
  observe(observer: ShardObserver): void {
    this.#observers.push(observer);
  }

  /** Returns all replicas on this node. */
  all(): IterableIterator<ShardReplica> {
    return this.#replicas.values();
  }

  /** Returns the replica of a shard, if this node has one. */
  get(shard: number): ShardReplica | undefined {
    return this.#replicas.get(shard);
  }

  /** Returns the shard of a program. All programs with the same root program are on the same shard. */
  shardOfProgram(program: string): number {
    return this.shardOfKey(rootOfProgram(program));
  }

  /** Returns the shard of a call, which is that of its program. */
  shardOfCall(call: string): number {
    return this.shardOfProgram(programOfCall(call));
  }

  /** Returns the shard of any other key. */
  shardOfKey(key: string): number {
    return this.#context.hash.hash32(key) % this.#context.settings.cluster.shards;
  }

  /** Returns the replica of a shard that this node leads. Otherwise throws a redirect to the leader, if known. */
  ledReplica(shard: number): ShardReplica {
    const replica = this.#replicas.get(shard);
    if (!replica?.leads) throw new RedirectSignal(replica?.leader?.address);
    return replica;
  }

  /** Starts one of the first replicas of a newly created shard. */
  bootstrap(shard: number, voters: readonly Member[]): void {
    if (this.#replicas.has(shard)) return;
    this.#create(shard).bootstrap(voters);
  }

  /** Starts a replica of a recovered shard. Drops a replica of an older generation. */
  bootstrapFrom(shard: number, voters: readonly Member[], generation: number, archived: ArchivedState): void {
    if ((this.#replicas.get(shard)?.generation ?? -1) >= generation) return;
    this.drop(shard);
    this.#create(shard).bootstrapFrom(voters, generation, archived.lastIndex, archived.state);
  }

  /** Stops hosting a shard. */
  drop(shard: number): void {
    this.#replicas.get(shard)?.close();
    this.#replicas.delete(shard);
    this.#ledShards.delete(shard);
  }

  /** Proposes a command on a shard that this node leads. */
  async propose(replica: ShardReplica, command: ShardCommand): Promise<ApplyResult> {
    const outcome = await replica.propose(command, () => this.#context.clock.monotonicMs());
    if (outcome.type === "applied") return outcome.result;
    throw new RedirectSignal(replica.leader?.address);
  }

  /** Runs the timers of every replica. */
  tick(): void {
    const nowMs = this.#context.clock.monotonicMs();
    for (const replica of this.#replicas.values()) {
      replica.tick(nowMs);
      this.#detectLeadershipChange(replica);
    }
  }

  /** Handles a message from another replica. A leader's message for an unknown shard starts an empty replica. */
  onMessage({ shard, to, message }: ShardMessage): void {
    if (to === this.#context.self.instance) this.#receive(shard, message);
  }

  /** Handles the heartbeats from another node. */
  onHeartbeats({ to, leader, items }: ShardHeartbeats): void {
    if (to !== this.#context.self.instance) return;
    for (const { shard, ...item } of items) {
      this.#receive(shard, { type: "appendRequest", leader, entries: [], ...item });
    }
  }

  /** Handles the acknowledgements from another node. */
  onAcknowledgements({ to, follower, items }: ShardAcknowledgements): void {
    if (to !== this.#context.self.instance) return;
    for (const { shard, ...item } of items)
      this.#receive(shard, { type: "appendResponse", follower, ...item });
  }

  #receive(shard: number, message: ShardGroupMessage<ShardCommand>): void {
    const replica = this.#replicas.get(shard) ?? this.#createForLeaderMessage(shard, message);
    replica?.receive(message, this.#context.clock.monotonicMs());
    if (replica) this.#detectLeadershipChange(replica);
  }

  sendToReplica(shard: number, to: Member, message: ShardGroupMessage<ShardCommand>): void {
    this.#outbox.add(shard, to, message);
  }

  onRoleChanged(replica: ShardReplica): void {
    this.#detectLeadershipChange(replica);
  }

  onApplied(replica: ShardReplica, command: ShardCommand, result: ApplyResult): void {
    for (const observer of this.#observers) observer.onApplied?.(replica, command, result);
  }

  #create(shard: number): ShardReplica {
    const { self, settings, random, hash, clock } = this.#context;
    const options = { self, seed: random.below(SEED_LIMIT), ...settings.timing.shardGroup };
    const replica = new ShardReplica(shard, options, hash.hash64, this, clock.monotonicMs());
    this.#replicas.set(shard, replica);
    return replica;
  }

  #createForLeaderMessage(shard: number, message: ShardGroupMessage<ShardCommand>): ShardReplica | undefined {
    const fromLeader = message.type === "appendRequest" || message.type === "snapshotRequest";
    return fromLeader ? this.#create(shard) : undefined;
  }

  #detectLeadershipChange(replica: ShardReplica): void {
    const leads = replica.leads;
    if (leads === this.#ledShards.has(replica.shard)) return;
    if (leads) this.#ledShards.add(replica.shard);
    else this.#ledShards.delete(replica.shard);
    const pendingProposals = replica.pendingProposals(this.#context.clock.monotonicMs());
    this.#context.log.info(
      { shard: replica.shard, term: replica.term, leads, leader: replica.leader?.instance, pendingProposals },
      leads ? "became leader of shard" : "lost leadership of shard",
    );
    for (const observer of this.#observers) observer.onLeadershipChanged?.(replica);
  }
}
