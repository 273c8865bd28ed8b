import {
  type LogEntry,
  type Member,
  type Membership,
  ShardGroup,
  type ShardGroupEffect,
  type ShardGroupMessage,
  type ShardGroupOptions,
  type ShardRole,
} from "../coordination/shard-group/index.ts";
import type { ApplyResult } from "../scheduling/program/program-table.ts";
import { type ShardCommand, type ShardSnapshot, ShardState } from "../scheduling/shard-state.ts";

/** What a replica needs from the node that hosts it. */
export interface ShardReplicaHost {
  /** Sends a message to another replica of the shard. */
  sendToReplica(shard: number, to: Member, message: ShardGroupMessage<ShardCommand>): void;
  /** The replica's role, term or leader has changed. */
  onRoleChanged(replica: ShardReplica): void;
  /** A command was applied. Called on every replica, in journal order. */
  onApplied(replica: ShardReplica, command: ShardCommand, result: ApplyResult): void;
}

/** What became of a proposal. */
export type ProposalResult =
  | { readonly type: "applied"; readonly result: ApplyResult }
  /** This replica does not lead, or stopped leading before the entry was committed: the command never happened. */
  | { readonly type: "lost" }
  /** The entry was swallowed by a snapshot: whether it happened shows only in the state. */
  | { readonly type: "unknown" };

interface PendingProposal {
  readonly term: number;
  readonly resolve: (result: ProposalResult) => void;
}

/** More elections than a lost group can have had. */
const TERMS_PER_GENERATION = 1_000_000;

/** Applied entries that stay in memory for followers that are a little behind. */
const RETAINED_ENTRIES = 256;
/** Entries after which the journal is cut. */
const MAX_JOURNAL_ENTRIES = 1_024;

/** One replica of one shard: the pure {@link ShardGroup}, the state it replicates, and proposals under way. */
export class ShardReplica {
  readonly shard: number;
  readonly state: ShardState;
  readonly #group: ShardGroup<ShardCommand>;
  readonly #host: ShardReplicaHost;
  readonly #pending = new Map<number, PendingProposal>();
  #appliedIndex = 0;
  #flushScheduled = false;

  constructor(
    shard: number,
    options: ShardGroupOptions,
    hash: (text: string) => string,
    host: ShardReplicaHost,
    nowMs: number,
  ) {
    this.shard = shard;
    this.state = new ShardState(hash);
    this.#group = new ShardGroup<ShardCommand>(options, nowMs);
    this.#host = host;
  }

  get role(): ShardRole {
    return this.#group.role;
  }

  get term(): number {
    return this.#group.term;
  }

  /** How often the shard has been recovered from the archive; each generation begins with a term of its own. */
  get generation(): number {
    return Math.floor(this.#group.term / TERMS_PER_GENERATION);
  }

  get leader(): Member | undefined {
    return this.#group.leader;
  }

  get membership(): Membership {
    return this.#group.membership;
  }

  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /** Entries of the journal in memory. */
  get heldEntries(): number {
    return this.#group.heldEntries;
  }

  /** Whether this replica leads and its state holds everything committed before. */
  get leads(): boolean {
    return this.#group.isReadyLeader;
  }

  /** The group, for changes of membership and hand-overs. */
  get group(): ShardGroup<ShardCommand> {
    return this.#group;
  }

  /** Starts a group that never existed. */
  bootstrap(voters: readonly Member[]): void {
    this.#group.bootstrap(voters);
    this.runEffects();
  }

  /** Starts a group that lost all its replicas from an archived state. */
  bootstrapFrom(
    voters: readonly Member[],
    generation: number,
    lastIndex: number,
    state: ShardSnapshot,
  ): void {
    this.state.restore(state);
    this.#appliedIndex = lastIndex;
    this.#group.bootstrapFrom(voters, lastIndex, generation * TERMS_PER_GENERATION);
  }

  /** Lets time pass. */
  tick(nowMs: number): void {
    this.#group.tick(nowMs);
    this.runEffects();
  }

  /** Takes in a message of another replica. */
  receive(message: ShardGroupMessage<ShardCommand>, nowMs: number): void {
    this.#group.receive(message, nowMs);
    this.runEffects();
  }

  /** Proposes a command; resolves once its fate is known. */
  propose(command: ShardCommand, now: () => number): Promise<ProposalResult> {
    const proposed = this.#group.propose(command, now());
    if (!proposed) return Promise.resolve({ type: "lost" });
    this.#scheduleFlush(now);
    return new Promise((resolve) => {
      this.#pending.get(proposed.index)?.resolve({ type: "lost" });
      this.#pending.set(proposed.index, { term: proposed.term, resolve });
    });
  }

  /** Carries out what the group asked for. */
  runEffects(): void {
    for (const effect of this.#group.takeEffects()) this.#runEffect(effect);
  }

  /** Proposals of one turn of the event loop travel together. */
  #scheduleFlush(now: () => number): void {
    if (this.#flushScheduled) return;
    this.#flushScheduled = true;
    queueMicrotask(() => {
      this.#flushScheduled = false;
      this.#group.flush(now());
      this.runEffects();
    });
  }

  #runEffect(effect: ShardGroupEffect<ShardCommand>): void {
    switch (effect.type) {
      case "send":
        return this.#host.sendToReplica(this.shard, effect.to, effect.message);
      case "apply":
        return this.#applyAll(effect.entries);
      case "restore":
        return this.#restore(effect.state as ShardSnapshot, effect.lastIndex);
      case "snapshotNeeded":
        return this.#group.provideSnapshot(effect.to, this.#appliedIndex, this.state.toSnapshot());
      case "roleChanged":
        return this.#host.onRoleChanged(this);
    }
  }

  #applyAll(entries: readonly LogEntry<ShardCommand>[]): void {
    for (const entry of entries) this.#apply(entry);
    if (this.#group.heldEntries > MAX_JOURNAL_ENTRIES)
      this.#group.truncate(this.#appliedIndex - RETAINED_ENTRIES);
  }

  #apply(entry: LogEntry<ShardCommand>): void {
    this.#appliedIndex = entry.index;
    const { payload } = entry;
    if (payload.type !== "command") return this.#settle(entry, { accepted: true });
    const result = this.state.apply(payload.command);
    this.#host.onApplied(this, payload.command, result);
    this.#settle(entry, result);
  }

  #settle(entry: LogEntry<ShardCommand>, result: ApplyResult): void {
    const pending = this.#pending.get(entry.index);
    if (!pending) return;
    this.#pending.delete(entry.index);
    pending.resolve(pending.term === entry.term ? { type: "applied", result } : { type: "lost" });
  }

  /** Proposals inside the snapshot may have happened; their callers learn it from the state. */
  #restore(snapshot: ShardSnapshot, lastIndex: number): void {
    this.state.restore(snapshot);
    this.#appliedIndex = lastIndex;
    for (const [index, pending] of this.#pending) {
      if (index > lastIndex) continue;
      this.#pending.delete(index);
      pending.resolve({ type: "unknown" });
    }
  }
}
