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
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { ShardGroupEffect, ShardRole } from "./effects.ts";
import { FollowerProgress } from "./follower-progress.ts";
import type { EntryPayload } from "./log-entry.ts";
import { allMembers, isVoter, type Member, type Membership, majoritySize } from "./member.ts";
import { MembershipTracker } from "./membership-tracker.ts";
import type {
  AppendRequest,
  AppendResponse,
  ShardGroupMessage,
  SnapshotRequest,
  VoteRequest,
  VoteResponse,
} from "./messages.ts";
import {
  type ResolvedShardGroupOptions,
  resolveShardGroupOptions,
  type ShardGroupOptions,
} from "./options.ts";
import { ReplicatedLog } from "./replicated-log.ts";

/** Term and index of the entry that every first member of a new group starts with. */
const BOOTSTRAP_TERM = 1;
/** Election time-outs for which a removed replica is still told of its removal. */
const REMOVED_PATIENCE = 5;

/** Where a proposed entry stands in the journal; committed once an entry with both is applied. */
export interface ProposedAt {
  readonly index: number;
  readonly term: number;
}

/** See the module's comment. `Command` is what the embedding program replicates. */
export class ShardGroup<Command> {
  readonly #options: ResolvedShardGroupOptions;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #log = new ReplicatedLog<Command>();
  readonly #membership = new MembershipTracker<Command>(this.#log);
  readonly #followers = new Map<string, FollowerProgress>();
  #effects: ShardGroupEffect<Command>[] = [];
  #role: ShardRole = "follower";
  #term = 0;
  #votedFor: string | undefined;
  #leader: Member | undefined;
  #votes = new Set<string>();
  #preVoteRound = false;
  #commitIndex = 0;
  #electionDeadlineMs: number;
  #lastLeaderContactMs = Number.NEGATIVE_INFINITY;
  #nextHeartbeatMs = 0;
  #termStartIndex = 0;

  constructor(options: ShardGroupOptions, nowMs: number) {
    this.#options = resolveShardGroupOptions(options);
    this.#random = xoroshiro128plus(options.seed);
    this.#electionDeadlineMs = nowMs + this.#randomElectionDelayMs();
  }

  /** Starts the first replicas of a group that has never existed: every one of them is given the same voters. */
  bootstrap(voters: readonly Member[]): void {
    this.#term = BOOTSTRAP_TERM;
    const entry = this.#log.append(BOOTSTRAP_TERM, {
      type: "membership",
      membership: { voters, learners: [] },
    });
    this.#membership.observe([entry]);
    this.#commitTo(entry.index);
  }

  /**
   * Starts a group anew from a state that was kept elsewhere, after every replica was lost. All first members must be
   * given the same; `term` must be above any that the lost group can have reached.
   */
  bootstrapFrom(voters: readonly Member[], lastIndex: number, term: number): void {
    this.#term = term;
    this.#log.reset(lastIndex, term);
    this.#membership.reset({ voters, learners: [] });
    this.#commitIndex = lastIndex;
  }

  /** What this replica is. */
  get role(): ShardRole {
    return this.#role;
  }

  /** The current term. */
  get term(): number {
    return this.#term;
  }

  /** The leader of the current term, as far as this replica knows. */
  get leader(): Member | undefined {
    return this.#leader;
  }

  /** The membership in force. */
  get membership(): Membership {
    return this.#membership.current;
  }

  /** The last committed index. */
  get commitIndex(): number {
    return this.#commitIndex;
  }

  /** The last index in the journal. */
  get lastIndex(): number {
    return this.#log.lastIndex;
  }

  /** Entries held in memory. */
  get heldEntries(): number {
    return this.#log.length;
  }

  /**
   * Whether this replica leads and has committed an entry of its own term: only then does its applied state
   * hold everything that earlier leaders committed.
   */
  get isReadyLeader(): boolean {
    return this.#role === "leader" && this.#commitIndex >= this.#termStartIndex;
  }

  /** Whether a change of membership may be proposed now. */
  get canChangeMembership(): boolean {
    return this.isReadyLeader && this.#membership.currentIndex <= this.#commitIndex;
  }

  /**
   * Whether this replica leads and a majority answered it lately. Ask again after a pause, before acting:
   * a process that was frozen wakes up sure that it still leads.
   */
  hasMajority(nowMs: number): boolean {
    return this.#leadsWithMajority(nowMs);
  }

  /** How far behind the journal's end a replica is, in entries; undefined when not leading or not a replica. */
  lagOf(instance: string): number | undefined {
    const progress = this.#followers.get(instance);
    return progress && this.#log.lastIndex - progress.matchIndex;
  }

  /** Milliseconds since a replica last answered this leader; undefined when not leading or not a replica. */
  silenceOf(instance: string, nowMs: number): number | undefined {
    const progress = this.#followers.get(instance);
    return progress && nowMs - progress.lastResponseMs;
  }

  /** Hands over the effects gathered since the last call. */
  takeEffects(): readonly ShardGroupEffect<Command>[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Must be called a few times per heartbeat interval, and first of all after a pause. */
  tick(nowMs: number): void {
    if (this.#role === "leader") this.#tickLeader(nowMs);
    else if (nowMs >= this.#electionDeadlineMs) this.#startPreVote(nowMs);
  }

  /**
   * Adds a command to the journal. Nothing is sent before {@link flush}, so several proposals share a message.
   *
   * @returns where the entry stands, or undefined when this replica is not the leader or has lost its majority
   */
  propose(command: Command, nowMs: number): ProposedAt | undefined {
    if (!this.#leadsWithMajority(nowMs)) return undefined;
    return this.#appendAsLeader({ type: "command", command });
  }

  /**
   * Adds a change of replicas to the journal. At most one voter may be added or removed at a time.
   *
   * @returns where the entry stands, or undefined when it may not be proposed now
   */
  proposeMembership(membership: Membership, nowMs: number): ProposedAt | undefined {
    if (!this.#leadsWithMajority(nowMs) || !this.canChangeMembership) return undefined;
    if (!differsByOneVoter(this.membership, membership)) return undefined;
    const proposed = this.#appendAsLeader({ type: "membership", membership });
    this.#syncFollowers(nowMs);
    return proposed;
  }

  /** Sends proposed entries to the followers. */
  flush(nowMs: number): void {
    if (this.#role !== "leader") return;
    for (const progress of this.#followers.values()) this.#sendEntries(progress, nowMs);
    this.#advanceCommit(nowMs);
  }

  /** Asks the follower that is furthest ahead to take over. It is asked only when it holds the whole journal. */
  transferLeadership(preferred?: string): Member | undefined {
    if (this.#role !== "leader") return undefined;
    const caughtUp = [...this.#followers.values()].filter(
      (progress) =>
        progress.matchIndex === this.#log.lastIndex && isVoter(this.membership, progress.member.instance),
    );
    const target = caughtUp.find((progress) => progress.member.instance === preferred) ?? caughtUp[0];
    if (!target) return undefined;
    this.#send(target.member, { type: "transferRequest", term: this.#term });
    return target.member;
  }

  /** Answers a `snapshotNeeded` effect. `lastIndex` is the last index that `state` includes. */
  provideSnapshot(to: Member, lastIndex: number, state: unknown): void {
    const lastTerm = this.#log.termAt(lastIndex);
    if (this.#role !== "leader" || lastTerm === undefined) return;
    const membership = this.#membership.at(lastIndex);
    this.#send(to, {
      type: "snapshotRequest",
      term: this.#term,
      leader: this.#options.self,
      lastIndex,
      lastTerm,
      membership,
      state,
    });
  }

  /** Drops applied entries up to `index` from memory. Followers further behind are then sent a snapshot. */
  truncate(index: number): void {
    const upTo = Math.min(index, this.#commitIndex);
    this.#membership.beforeTruncation(upTo);
    this.#log.truncate(upTo);
  }

  /** Takes in a message from another replica. */
  receive(message: ShardGroupMessage<Command>, nowMs: number): void {
    if (message.type === "voteRequest") return this.#onVoteRequest(message, nowMs);
    if (message.term > this.#term && !isGrantedPreVote(message)) {
      this.#becomeFollower(message.term, undefined, nowMs);
    }
    switch (message.type) {
      case "voteResponse":
        return this.#onVoteResponse(message, nowMs);
      case "appendRequest":
        return this.#onAppendRequest(message, nowMs);
      case "appendResponse":
        return this.#onAppendResponse(message, nowMs);
      case "snapshotRequest":
        return this.#onSnapshotRequest(message, nowMs);
      case "transferRequest":
        return this.#onTransferRequest(message.term, nowMs);
    }
  }

  // Elections

  #startPreVote(nowMs: number): void {
    this.#electionDeadlineMs = nowMs + this.#randomElectionDelayMs();
    if (!isVoter(this.membership, this.#options.self.instance)) return;
    if (this.#role !== "candidate" || this.#leader) this.#setRole("candidate", undefined);
    this.#preVoteRound = true;
    this.#votes = new Set([this.#options.self.instance]);
    this.#requestVotes(this.#term + 1, true, false);
    this.#countVotes(nowMs);
  }

  #startElection(nowMs: number, transfer: boolean): void {
    this.#term += 1;
    this.#votedFor = this.#options.self.instance;
    this.#preVoteRound = false;
    this.#votes = new Set([this.#options.self.instance]);
    this.#electionDeadlineMs = nowMs + this.#randomElectionDelayMs();
    this.#setRole("candidate", undefined);
    this.#requestVotes(this.#term, false, transfer);
    this.#countVotes(nowMs);
  }

  #requestVotes(term: number, preVote: boolean, transfer: boolean): void {
    for (const voter of this.membership.voters) {
      if (voter.instance === this.#options.self.instance) continue;
      this.#send(voter, {
        type: "voteRequest",
        term,
        candidate: this.#options.self,
        lastIndex: this.#log.lastIndex,
        lastTerm: this.#log.lastTerm,
        preVote,
        transfer,
      });
    }
  }

  #onVoteRequest(request: VoteRequest, nowMs: number): void {
    if (!request.transfer && this.#hearsLiveLeader(nowMs)) return;
    if (request.term > this.#term && !request.preVote) this.#becomeFollower(request.term, undefined, nowMs);
    const granted = this.#mayVoteFor(request);
    if (granted && !request.preVote) {
      this.#votedFor = request.candidate.instance;
      this.#electionDeadlineMs = nowMs + this.#randomElectionDelayMs();
    }
    this.#send(request.candidate, {
      type: "voteResponse",
      term: granted && request.preVote ? request.term : this.#term,
      voter: this.#options.self.instance,
      granted,
      preVote: request.preVote,
    });
  }

  #mayVoteFor(request: VoteRequest): boolean {
    if (request.term < this.#term) return false;
    const free = this.#votedFor === undefined || this.#votedFor === request.candidate.instance;
    if (!request.preVote && !free) return false;
    if (request.preVote && request.term === this.#term) return false;
    if (request.lastTerm !== this.#log.lastTerm) return request.lastTerm > this.#log.lastTerm;
    return request.lastIndex >= this.#log.lastIndex;
  }

  /** A voter that hears its leader, and a leader that hears its majority, ignore candidates. */
  #hearsLiveLeader(nowMs: number): boolean {
    if (this.#role === "leader") return this.#leadsWithMajority(nowMs);
    return nowMs - this.#lastLeaderContactMs < this.#options.electionTimeoutMs;
  }

  #onVoteResponse(response: VoteResponse, nowMs: number): void {
    if (this.#role !== "candidate" || !response.granted) return;
    if (response.preVote !== this.#preVoteRound) return;
    const expectedTerm = this.#preVoteRound ? this.#term + 1 : this.#term;
    if (response.term !== expectedTerm) return;
    this.#votes.add(response.voter);
    this.#countVotes(nowMs);
  }

  #countVotes(nowMs: number): void {
    const given = this.membership.voters.filter((voter) => this.#votes.has(voter.instance)).length;
    if (given < majoritySize(this.membership)) return;
    if (this.#preVoteRound) this.#startElection(nowMs, false);
    else this.#becomeLeader(nowMs);
  }

  #onTransferRequest(term: number, nowMs: number): void {
    if (term !== this.#term || this.#role === "leader") return;
    if (isVoter(this.membership, this.#options.self.instance)) this.#startElection(nowMs, true);
  }

  #becomeLeader(nowMs: number): void {
    this.#followers.clear();
    this.#setRole("leader", this.#options.self);
    this.#syncFollowers(nowMs);
    this.#termStartIndex = this.#appendAsLeader({ type: "leaderStart" }).index;
    this.#nextHeartbeatMs = this.#heartbeatAfter(nowMs);
    this.flush(nowMs);
  }

  #becomeFollower(term: number, leader: Member | undefined, nowMs: number): void {
    if (term > this.#term) {
      this.#term = term;
      this.#votedFor = undefined;
    }
    this.#followers.clear();
    this.#electionDeadlineMs = nowMs + this.#randomElectionDelayMs();
    if (this.#role !== "follower" || this.#leader?.instance !== leader?.instance) {
      this.#setRole("follower", leader);
    }
  }

  // Replication, leader's side

  #tickLeader(nowMs: number): void {
    if (!this.#leadsWithMajority(nowMs)) return this.#becomeFollower(this.#term, undefined, nowMs);
    if (nowMs < this.#nextHeartbeatMs) return;
    this.#nextHeartbeatMs = this.#heartbeatAfter(nowMs);
    this.#forgetRemoved(nowMs);
    for (const progress of this.#followers.values()) {
      if (!this.#sendEntries(progress, nowMs)) this.#sendAppend(progress, nowMs, 0);
    }
  }

  #leadsWithMajority(nowMs: number): boolean {
    if (this.#role !== "leader") return false;
    const self = this.#options.self.instance;
    const heard = this.membership.voters.filter((voter) => {
      if (voter.instance === self) return true;
      const silence = this.silenceOf(voter.instance, nowMs);
      return silence !== undefined && silence < this.#options.electionTimeoutMs;
    });
    return heard.length >= majoritySize(this.membership);
  }

  #appendAsLeader(payload: EntryPayload<Command>): ProposedAt {
    const entry = this.#log.append(this.#term, payload);
    this.#membership.observe([entry]);
    return { index: entry.index, term: entry.term };
  }

  /** A replica that was removed is told so before it is forgotten, unless it stays silent. */
  #forgetRemoved(nowMs: number): void {
    const members = allMembers(this.membership);
    for (const [instance, progress] of this.#followers) {
      if (members.some((member) => member.instance === instance)) continue;
      const told = progress.matchIndex >= this.#membership.currentIndex;
      const silent = nowMs - progress.lastResponseMs > REMOVED_PATIENCE * this.#options.electionTimeoutMs;
      if (told || silent) this.#followers.delete(instance);
    }
  }

  #syncFollowers(nowMs: number): void {
    const wanted = allMembers(this.membership).filter(
      (member) => member.instance !== this.#options.self.instance,
    );
    for (const member of wanted) {
      if (this.#followers.has(member.instance)) continue;
      this.#followers.set(member.instance, new FollowerProgress(member, this.#log.lastIndex + 1, nowMs));
    }
  }

  /** Sends what the follower lacks, within the bound on entries in flight. Returns whether anything was sent. */
  #sendEntries(progress: FollowerProgress, nowMs: number): boolean {
    let sent = false;
    const limit = progress.matchIndex + this.#options.maxEntriesInFlight;
    while (progress.nextIndex <= Math.min(this.#log.lastIndex, limit)) {
      const count = this.#sendAppend(progress, nowMs, this.#options.maxEntriesPerAppend);
      if (count === 0) break;
      sent = true;
    }
    return sent;
  }

  #sendAppend(progress: FollowerProgress, nowMs: number, maxEntries: number): number {
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = this.#log.termAt(previousIndex);
    if (previousTerm === undefined) {
      this.#requestSnapshot(progress, nowMs);
      return 0;
    }
    const entries = this.#log.slice(progress.nextIndex, maxEntries);
    progress.nextIndex += entries.length;
    this.#send(progress.member, {
      type: "appendRequest",
      term: this.#term,
      leader: this.#options.self,
      previousIndex,
      previousTerm,
      entries,
      commitIndex: this.#commitIndex,
    });
    return entries.length;
  }

  #requestSnapshot(progress: FollowerProgress, nowMs: number): void {
    if (nowMs - progress.snapshotRequestedMs < this.#options.electionTimeoutMs) return;
    progress.snapshotRequestedMs = nowMs;
    this.#effects.push({ type: "snapshotNeeded", to: progress.member });
  }

  #onAppendResponse(response: AppendResponse, nowMs: number): void {
    const progress = this.#followers.get(response.follower);
    if (this.#role !== "leader" || response.term !== this.#term || !progress) return;
    progress.lastResponseMs = nowMs;
    if (response.success) progress.acknowledge(response.matchIndex);
    else progress.reject(response.matchIndex);
    this.#advanceCommit(nowMs);
    if (this.#role === "leader") this.#sendEntries(progress, nowMs);
  }

  /** Commits what a majority of the voters holds. Only entries of this term are counted (Raft, section 5.4.2). */
  #advanceCommit(nowMs: number): void {
    if (this.#role !== "leader") return;
    const held = this.membership.voters.map((voter) =>
      voter.instance === this.#options.self.instance
        ? this.#log.lastIndex
        : (this.#followers.get(voter.instance)?.matchIndex ?? 0),
    );
    held.sort((left, right) => right - left);
    const candidate = held[majoritySize(this.membership) - 1] ?? 0;
    if (candidate <= this.#commitIndex || this.#log.termAt(candidate) !== this.#term) return;
    this.#commitTo(candidate);
    this.#stepDownIfRemoved(nowMs);
  }

  #stepDownIfRemoved(nowMs: number): void {
    const removed = !isVoter(this.membership, this.#options.self.instance);
    if (removed && this.#membership.currentIndex <= this.#commitIndex) {
      this.#becomeFollower(this.#term, undefined, nowMs);
    }
  }

  #commitTo(index: number): void {
    if (index <= this.#commitIndex) return;
    const entries = this.#log.slice(this.#commitIndex + 1, index - this.#commitIndex);
    this.#commitIndex = index;
    this.#effects.push({ type: "apply", entries });
  }

  // Replication, follower's side

  #onAppendRequest(request: AppendRequest<Command>, nowMs: number): void {
    if (request.term < this.#term) return this.#answerAppend(request.leader, false, 0);
    this.#followLeader(request.leader, nowMs);
    const heldTerm = this.#log.termAt(request.previousIndex);
    const behindTruncation = request.previousIndex < this.#log.truncatedIndex;
    if (!behindTruncation && heldTerm !== request.previousTerm) {
      return this.#answerAppend(request.leader, false, this.#matchHint(request.previousIndex));
    }
    if (this.#log.merge(request.entries)) this.#membership.refresh();
    else this.#membership.observe(request.entries);
    const matchIndex = request.previousIndex + request.entries.length;
    this.#commitTo(Math.min(request.commitIndex, matchIndex));
    this.#answerAppend(request.leader, true, matchIndex);
  }

  /** The last index that could match: never an uncommitted one that has just been found to differ. */
  #matchHint(previousIndex: number): number {
    if (previousIndex > this.#log.lastIndex) return this.#log.lastIndex;
    return Math.max(this.#commitIndex, previousIndex - 1 - this.#options.maxEntriesPerAppend, 0);
  }

  #followLeader(leader: Member, nowMs: number): void {
    this.#lastLeaderContactMs = nowMs;
    if (this.#role !== "follower" || this.#leader?.instance !== leader.instance) {
      this.#becomeFollower(this.#term, leader, nowMs);
    }
    this.#electionDeadlineMs = nowMs + this.#randomElectionDelayMs();
  }

  #answerAppend(leader: Member, success: boolean, matchIndex: number): void {
    this.#send(leader, {
      type: "appendResponse",
      term: this.#term,
      follower: this.#options.self.instance,
      success,
      matchIndex,
    });
  }

  #onSnapshotRequest(request: SnapshotRequest, nowMs: number): void {
    if (request.term < this.#term) return this.#answerAppend(request.leader, false, 0);
    this.#followLeader(request.leader, nowMs);
    if (this.#log.termAt(request.lastIndex) === request.lastTerm) {
      // A late duplicate: entries after it may already be acknowledged, so nothing may be dropped.
      this.#commitTo(request.lastIndex);
    } else if (request.lastIndex > this.#commitIndex) {
      this.#log.reset(request.lastIndex, request.lastTerm);
      this.#membership.reset(request.membership);
      this.#commitIndex = request.lastIndex;
      this.#effects.push({ type: "restore", state: request.state, lastIndex: request.lastIndex });
    }
    this.#answerAppend(request.leader, true, request.lastIndex);
  }

  // Small helpers

  #send(to: Member, message: ShardGroupMessage<Command>): void {
    this.#effects.push({ type: "send", to, message });
  }

  #setRole(role: ShardRole, leader: Member | undefined): void {
    this.#role = role;
    this.#leader = leader;
    this.#effects.push({ type: "roleChanged", role, term: this.#term, leader });
  }

  /** All groups on a clock send their heartbeats at the same moments, so that a driver can gather them. */
  #heartbeatAfter(nowMs: number): number {
    const { heartbeatIntervalMs } = this.#options;
    return (Math.floor(nowMs / heartbeatIntervalMs) + 1) * heartbeatIntervalMs;
  }

  #randomElectionDelayMs(): number {
    const timeoutMs = this.#options.electionTimeoutMs;
    return timeoutMs + uniformInt(this.#random, 0, timeoutMs);
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
