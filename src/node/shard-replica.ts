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
import { PendingProposals, type PendingProposalsSummary, type ProposalResult } from "./pending-proposals.ts";

/** The callbacks that a replica uses of the node that hosts it. */
export interface ShardReplicaHost {
  /** Sends a message to another replica of the shard. */
  sendToReplica(shard: number, to: Member, message: ShardGroupMessage<ShardCommand>): void;
  /** Called when the replica's role, term or leader has changed. */
  onRoleChanged(replica: ShardReplica): void;
  /** Called when a command was applied. This happens on every replica, in journal order. */
  onApplied(replica: ShardReplica, command: ShardCommand, result: ApplyResult): void;
}

/** Exceeds the number of elections that a lost group can have had, so that a new generation starts at a higher term. */
const TERMS_PER_GENERATION = 1_000_000;

/** Number of applied entries that stay in memory for followers that lag slightly behind. */
const RETAINED_ENTRIES = 256;
/**
 * Time after which a replica that lost leadership stops waiting for its proposals, in ms. By then the next leader has
 * usually committed an entry. If none arrives here, the group may have removed this replica, or can't reach it.
 */
const LOST_LEADERSHIP_TIMEOUT_MS = 5_000;
/** The journal is truncated when it has more entries than this. */
const MAX_JOURNAL_ENTRIES = 1_024;

/** One replica of one shard: the pure {@link ShardGroup}, the state that it replicates, and the pending proposals. */
export class ShardReplica {
  readonly shard: number;
  readonly state: ShardState;
  readonly #group: ShardGroup<ShardCommand>;
  readonly #host: ShardReplicaHost;
  readonly #pending = new PendingProposals();
  #appliedIndex = 0;
  #lastLedMs: number;
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
    this.#lastLedMs = nowMs;
  }

  get role(): ShardRole {
    return this.#group.role;
  }

  get term(): number {
    return this.#group.term;
  }

  /** How often the shard was recovered from the archive. Each generation has its own range of terms. */
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

  /** Number of journal entries in memory. */
  get heldEntries(): number {
    return this.#group.heldEntries;
  }

  /** Whether this replica is the leader and its state contains everything that was committed before its term. */
  get leads(): boolean {
    return this.#group.isReadyLeader;
  }

  /** The consensus group, for membership changes and leadership transfers. */
  get group(): ShardGroup<ShardCommand> {
    return this.#group;
  }

  /** Starts the group of a newly created shard. */
  bootstrap(voters: readonly Member[]): void {
    this.#group.bootstrap(voters);
    this.runEffects();
  }

  /** Starts a new group from an archived state, for a shard that lost all its replicas. */
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

  /** Runs the timers of the group. */
  tick(nowMs: number): void {
    this.#group.tick(nowMs);
    this.runEffects();
    if (this.role === "leader") this.#lastLedMs = nowMs;
    else if (nowMs - this.#lastLedMs > LOST_LEADERSHIP_TIMEOUT_MS) this.#pending.settleAll();
  }

  /** Settles all proposals, because this replica is no longer used. */
  close(): void {
    this.#pending.settleAll();
  }

  /** Handles a message from another replica. */
  receive(message: ShardGroupMessage<ShardCommand>, nowMs: number): void {
    this.#group.receive(message, nowMs);
    this.runEffects();
  }

  /** Proposes a command. Resolves when its outcome is known. */
  propose(command: ShardCommand, now: () => number): Promise<ProposalResult> {
    const nowMs = now();
    const proposed = this.#group.propose(command, nowMs);
    if (!proposed) return Promise.resolve({ type: "lost" });
    this.#scheduleFlush(now);
    return this.#pending.add(proposed, nowMs);
  }

  /** Returns a summary of the proposals whose outcome is not known yet; undefined if there are none. */
  pendingProposals(nowMs: number): PendingProposalsSummary | undefined {
    return this.#pending.summary(nowMs);
  }

  /** Runs the effects that the group has requested. */
  runEffects(): void {
    for (const effect of this.#group.takeEffects()) this.#runEffect(effect);
  }

  /** Sends all proposals of one turn of the event loop together. */
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
    if (payload.type !== "command") return this.#pending.onApplied(entry, { accepted: true });
    const result = this.state.apply(payload.command);
    this.#host.onApplied(this, payload.command, result);
    this.#pending.onApplied(entry, result);
  }

  #restore(snapshot: ShardSnapshot, lastIndex: number): void {
    this.state.restore(snapshot);
    this.#appliedIndex = lastIndex;
    // The snapshot replaced the log, so no proposal is settled by an entry of this replica any more.
    this.#pending.settleAll();
  }
}
