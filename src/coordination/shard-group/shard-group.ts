/**
 * One replica of a shard group: leader election by majority and a replicated journal, after Raft
 * (Ongaro and Ousterhout, 2014), with pre-votes, learners, single-server membership changes and planned
 * hand-over of leadership.
 *
 * The class is pure: time comes in as a value, and what must happen outside comes out as
 * {@link ShardGroupEffect}s, which the driver carries out in order.
 *
 * Guarantees, as long as a majority of the voters lives and messages eventually pass:
 * - an entry reported by an `apply` effect is in every later leader's journal, at the same index;
 * - every replica applies the same entries in the same order;
 * - at most one leader exists in a term.
 */
import type { ShardGroupEffect, ShardRole } from "./effects.ts";
import { Election } from "./election.ts";
import { FollowerReplication } from "./follower-replication.ts";
import { Leadership } from "./leadership.ts";
import { isVoter, type Member, type Membership } from "./member.ts";
import type { ShardGroupMessage } from "./messages.ts";
import { resolveShardGroupOptions, type ShardGroupOptions } from "./options.ts";
import type { ProposedAt } from "./proposed-at.ts";
import { ReplicaState } from "./replica-state.ts";

/** Term and index of the entry that every first member of a new group starts with. */
const BOOTSTRAP_TERM = 1;

/** See the module's comment. `Command` is what the embedding program replicates. */
export class ShardGroup<Command> {
  readonly #state: ReplicaState<Command>;
  readonly #election: Election<Command>;
  readonly #leadership: Leadership<Command>;
  readonly #followerReplication: FollowerReplication<Command>;

  constructor(options: ShardGroupOptions, nowMs: number) {
    const state = new ReplicaState<Command>(resolveShardGroupOptions(options), nowMs);
    const leadership = new Leadership(state);
    this.#state = state;
    this.#leadership = leadership;
    this.#followerReplication = new FollowerReplication(state);
    this.#election = new Election(
      state,
      (electedMs) => leadership.becomeLeader(electedMs),
      (askedMs) => leadership.hasMajority(askedMs),
    );
  }

  /** Starts the first replicas of a group that has never existed: every one of them is given the same voters. */
  bootstrap(voters: readonly Member[]): void {
    const { log, membership } = this.#state;
    this.#state.term = BOOTSTRAP_TERM;
    const entry = log.append(BOOTSTRAP_TERM, { type: "membership", membership: { voters, learners: [] } });
    membership.observe([entry]);
    this.#state.commitTo(entry.index);
  }

  /**
   * Starts a group anew from a state that was kept elsewhere, after every replica was lost. All first members must be
   * given the same; `term` must be above any that the lost group can have reached.
   */
  bootstrapFrom(voters: readonly Member[], lastIndex: number, term: number): void {
    const { log, membership } = this.#state;
    this.#state.term = term;
    log.reset(lastIndex, term);
    membership.reset({ voters, learners: [] });
    this.#state.commitIndex = lastIndex;
  }

  /** What this replica is. */
  get role(): ShardRole {
    return this.#state.role;
  }

  /** The current term. */
  get term(): number {
    return this.#state.term;
  }

  /** The leader of the current term, as far as this replica knows. */
  get leader(): Member | undefined {
    return this.#state.leader;
  }

  /** The membership in force. */
  get membership(): Membership {
    return this.#state.membership.current;
  }

  /** The last committed index. */
  get commitIndex(): number {
    return this.#state.commitIndex;
  }

  /** The last index in the journal. */
  get lastIndex(): number {
    return this.#state.log.lastIndex;
  }

  /** Entries held in memory. */
  get heldEntries(): number {
    return this.#state.log.entryCount;
  }

  /**
   * Whether this replica leads and has committed an entry of its own term: only then does its applied state
   * hold everything that earlier leaders committed.
   */
  get isReadyLeader(): boolean {
    return this.#leadership.isReady;
  }

  /** Whether a change of membership may be proposed now. */
  get canChangeMembership(): boolean {
    return this.#leadership.canChangeMembership;
  }

  /**
   * Whether this replica leads and a majority answered it lately. Ask again after a pause, before acting:
   * a process that was frozen wakes up sure that it still leads.
   */
  hasMajority(nowMs: number): boolean {
    return this.#leadership.hasMajority(nowMs);
  }

  /** How far behind the journal's end a replica is, in entries; undefined when not leading or not a replica. */
  lagInEntries(instance: string): number | undefined {
    return this.#leadership.lagInEntries(instance);
  }

  /** Milliseconds since a replica last answered this leader; undefined when not leading or not a replica. */
  timeSinceResponseMs(instance: string, nowMs: number): number | undefined {
    return this.#leadership.timeSinceResponseMs(instance, nowMs);
  }

  /** Hands over the effects gathered since the last call. */
  takeEffects(): readonly ShardGroupEffect<Command>[] {
    return this.#state.takeEffects();
  }

  /** Must be called a few times per heartbeat interval, and first of all after a pause. */
  tick(nowMs: number): void {
    if (this.#state.role === "leader") this.#leadership.tick(nowMs);
    else if (nowMs >= this.#state.electionDeadlineMs) this.#election.startPreVote(nowMs);
  }

  /**
   * Adds a command to the journal. Nothing is sent before {@link flush}, so several proposals share a message.
   *
   * @returns where the entry stands, or undefined when this replica is not the leader or has lost its majority
   */
  propose(command: Command, nowMs: number): ProposedAt | undefined {
    if (!this.hasMajority(nowMs)) return undefined;
    return this.#leadership.append({ type: "command", command });
  }

  /**
   * Adds a change of replicas to the journal. At most one voter may be added or removed at a time.
   *
   * @returns where the entry stands, or undefined when it may not be proposed now
   */
  proposeMembership(membership: Membership, nowMs: number): ProposedAt | undefined {
    if (!this.hasMajority(nowMs) || !this.canChangeMembership) return undefined;
    if (!differsByOneVoter(this.membership, membership)) return undefined;
    const proposed = this.#leadership.append({ type: "membership", membership });
    this.#leadership.syncFollowers(nowMs);
    return proposed;
  }

  /** Sends proposed entries to the followers. */
  flush(nowMs: number): void {
    this.#leadership.flush(nowMs);
  }

  /** Asks the follower that is furthest ahead to take over. It is asked only when it holds the whole journal. */
  transferLeadership(preferred?: string): Member | undefined {
    return this.#leadership.transfer(preferred);
  }

  /** Answers a `snapshotNeeded` effect. `lastIndex` is the last index that `state` includes. */
  provideSnapshot(to: Member, lastIndex: number, state: unknown): void {
    this.#leadership.provideSnapshot(to, lastIndex, state);
  }

  /** Drops applied entries up to `index` from memory. Followers further behind are then sent a snapshot. */
  truncate(index: number): void {
    const upTo = Math.min(index, this.#state.commitIndex);
    this.#state.membership.prepareTruncation(upTo);
    this.#state.log.truncate(upTo);
  }

  /** Takes in a message from another replica. */
  receive(message: ShardGroupMessage<Command>, nowMs: number): void {
    if (message.type === "voteRequest") return this.#election.onVoteRequest(message, nowMs);
    if (message.term > this.#state.term && !isGrantedPreVote(message)) {
      this.#state.becomeFollower(message.term, undefined, nowMs);
    }
    switch (message.type) {
      case "voteResponse":
        return this.#election.onVoteResponse(message, nowMs);
      case "appendRequest":
        return this.#followerReplication.onAppendRequest(message, nowMs);
      case "appendResponse":
        return this.#leadership.onAppendResponse(message, nowMs);
      case "snapshotRequest":
        return this.#followerReplication.onSnapshotRequest(message, nowMs);
      case "transferRequest":
        return this.#election.onTransferRequest(message.term, nowMs);
    }
  }
}

/** A granted pre-vote carries the term asked for, which nobody has entered yet. */
function isGrantedPreVote<Command>(message: ShardGroupMessage<Command>): boolean {
  return message.type === "voteResponse" && message.preVote && message.granted;
}

function differsByOneVoter(before: Membership, after: Membership): boolean {
  const added = after.voters.filter((member) => !isVoter(before, member.instance)).length;
  const removed = before.voters.filter((member) => !isVoter(after, member.instance)).length;
  return added + removed <= 1 && after.voters.length > 0;
}
