/**
 * One replica of a shard group: leader election by majority and a replicated log, after Raft
 * (Ongaro and Ousterhout, 2014), with pre-votes, learners, single-server membership changes and planned
 * transfer of leadership.
 *
 * The class does no I/O: the current time is passed in as a value, and I/O is returned as
 * {@link ShardGroupEffect}s, which the driver carries out in order.
 *
 * Guarantees, as long as a majority of the voters is alive and messages are eventually delivered:
 * - an entry reported by an `apply` effect is in every later leader's log, at the same index;
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

/** Term of the first entry, with which every initial member of a new group starts. */
const BOOTSTRAP_TERM = 1;

/** One replica of a shard group. `Command` is the type of the replicated commands. */
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

  /**
   * Starts this replica as one of the initial members of a new group. Every initial member must get the same voters.
   */
  bootstrap(voters: readonly Member[]): void {
    const { log, membership } = this.#state;
    this.#state.term = BOOTSTRAP_TERM;
    const entry = log.append(BOOTSTRAP_TERM, { type: "membership", membership: { voters, learners: [] } });
    membership.observe([entry]);
    this.#state.commitTo(entry.index);
  }

  /**
   * Starts this replica as an initial member of a group that is recovered from a stored state, after every replica was
   * lost. All initial members must get the same arguments. `term` must be higher than any term that the lost group can
   * have reached.
   */
  bootstrapFrom(voters: readonly Member[], lastIndex: number, term: number): void {
    const { log, membership } = this.#state;
    this.#state.term = term;
    log.reset(lastIndex, term);
    membership.reset({ voters, learners: [] });
    this.#state.commitIndex = lastIndex;
  }

  /** The current role of this replica. */
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

  /** The last index in the log. */
  get lastIndex(): number {
    return this.#state.log.lastIndex;
  }

  /** Number of log entries in memory. */
  get heldEntries(): number {
    return this.#state.log.entryCount;
  }

  /**
   * Whether this replica leads and has committed an entry of its own term. Only then does its applied state
   * include everything that earlier leaders committed.
   */
  get isReadyLeader(): boolean {
    return this.#leadership.isReady;
  }

  /** Whether a membership change may be proposed now. */
  get canChangeMembership(): boolean {
    return this.#leadership.canChangeMembership;
  }

  /**
   * Whether this replica leads and a majority has responded to it within the election time-out. Check this again after
   * a pause of the process, before acting: a replica that was suspended keeps the leader role until its next tick.
   */
  hasMajority(nowMs: number): boolean {
    return this.#leadership.hasMajority(nowMs);
  }

  /**
   * Returns how many entries a replica is behind the end of the log; undefined when this is not the leader, or when the
   * replica has not responded in this term.
   */
  lagInEntries(instance: string): number | undefined {
    return this.#leadership.lagInEntries(instance);
  }

  /**
   * Returns the time since a replica last responded to this leader; undefined when this is not the leader or it is no
   * replica.
   */
  timeSinceResponseMs(instance: string, nowMs: number): number | undefined {
    return this.#leadership.timeSinceResponseMs(instance, nowMs);
  }

  /** Returns the effects emitted since the last call. */
  takeEffects(): readonly ShardGroupEffect<Command>[] {
    return this.#state.takeEffects();
  }

  /** Must be called a few times per heartbeat interval, and before any other method after a pause of the process. */
  tick(nowMs: number): void {
    if (this.#state.role === "leader") this.#leadership.tick(nowMs);
    else if (nowMs >= this.#state.electionDeadlineMs) this.#election.startPreVote(nowMs);
  }

  /**
   * Appends a command to the log. It is sent by the next {@link flush}, so that several proposals share a message.
   *
   * @returns the position of the entry, or undefined when this replica is not the leader or has lost its majority
   */
  propose(command: Command, nowMs: number): ProposedAt | undefined {
    if (!this.hasMajority(nowMs)) return undefined;
    return this.#leadership.append({ type: "command", command });
  }

  /**
   * Appends a membership change to the log. At most one voter may be added or removed at a time.
   *
   * @returns the position of the entry, or undefined when the change may not be proposed now
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

  /**
   * Asks a responsive voter that has the whole log to take over: the `preferred` one if possible. Returns it, or
   * undefined if there is none.
   */
  transferLeadership(nowMs: number, preferred?: string): Member | undefined {
    return this.#leadership.transfer(nowMs, preferred);
  }

  /** Asks one voter to take over. Returns it, or undefined if it does not respond or lacks entries. */
  transferLeadershipTo(instance: string, nowMs: number): Member | undefined {
    return this.#leadership.transferTo(instance, nowMs);
  }

  /**
   * Sends the snapshot that a `snapshotNeeded` effect requested. `lastIndex` is the last index included in `state`.
   */
  provideSnapshot(to: Member, lastIndex: number, state: unknown): void {
    this.#leadership.provideSnapshot(to, lastIndex, state);
  }

  /** Drops applied entries up to `index` from memory. Followers that still need them are sent a snapshot. */
  truncate(index: number): void {
    const upTo = Math.min(index, this.#state.commitIndex);
    this.#state.membership.prepareTruncation(upTo);
    this.#state.log.truncate(upTo);
  }

  /** Handles a message from another replica. */
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

/** The response to a granted pre-vote carries the requested term, which no replica has entered yet. */
function isGrantedPreVote<Command>(message: ShardGroupMessage<Command>): boolean {
  return message.type === "voteResponse" && message.preVote && message.granted;
}

function differsByOneVoter(before: Membership, after: Membership): boolean {
  const added = after.voters.filter((member) => !isVoter(before, member.instance)).length;
  const removed = before.voters.filter((member) => !isVoter(after, member.instance)).length;
  return added + removed <= 1 && after.voters.length > 0;
}
