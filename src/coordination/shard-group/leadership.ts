import { FollowerProgress } from "./follower-progress.ts";
import type { EntryPayload } from "./log-entry.ts";
import { allMembers, isVoter, type Member, majoritySize } from "./member.ts";
import type { AppendResponse } from "./messages.ts";
import type { ProposedAt } from "./proposed-at.ts";
import type { ReplicaState } from "./replica-state.ts";

/** Number of election time-outs without a response after which the leader stops notifying a removed replica. */
const REMOVED_REPLICA_GRACE_ELECTION_TIMEOUTS = 5;

/** The leader's side of replication: sends entries and heartbeats, and commits entries that a majority has stored. */
export class Leadership<Command> {
  readonly #state: ReplicaState<Command>;
  #nextHeartbeatMs = 0;
  #termStartIndex = 0;

  constructor(state: ReplicaState<Command>) {
    this.#state = state;
  }

  /**
   * Whether this replica leads and has committed an entry of its own term. Only then does its applied state
   * include everything that earlier leaders committed.
   */
  get isReady(): boolean {
    return this.#state.role === "leader" && this.#state.commitIndex >= this.#termStartIndex;
  }

  /** Whether a membership change may be proposed now. */
  get canChangeMembership(): boolean {
    return this.isReady && this.#state.membership.currentIndex <= this.#state.commitIndex;
  }

  /**
   * Returns how many entries a replica is behind the end of the log; undefined when this is not the leader, or when the
   * replica has not responded in this term.
   */
  lagInEntries(instance: string): number | undefined {
    const progress = this.#state.followers.get(instance);
    return progress?.hasResponded ? this.#state.log.lastIndex - progress.matchIndex : undefined;
  }

  /**
   * Returns the time since a replica last responded to this leader; undefined when this is not the leader or it is no
   * replica.
   */
  timeSinceResponseMs(instance: string, nowMs: number): number | undefined {
    const progress = this.#state.followers.get(instance);
    return progress && nowMs - progress.lastResponseMs;
  }

  /** Sends proposed entries to the followers. */
  flush(nowMs: number): void {
    if (this.#state.role !== "leader") return;
    for (const progress of this.#state.followers.values()) this.#sendEntries(progress, nowMs);
    this.#advanceCommit(nowMs);
  }

  /**
   * Asks a responsive voter that has the whole log to take over: the `preferred` one if possible. Returns it, or
   * undefined if there is none.
   */
  transfer(nowMs: number, preferred?: string): Member | undefined {
    const caughtUp = this.#caughtUpVoters(nowMs);
    return this.#requestTransfer(caughtUp.find((member) => member.instance === preferred) ?? caughtUp[0]);
  }

  /** Asks one voter to take over. Returns it, or undefined if it does not respond or lacks entries. */
  transferTo(instance: string, nowMs: number): Member | undefined {
    return this.#requestTransfer(this.#caughtUpVoters(nowMs).find((member) => member.instance === instance));
  }

  /** Returns the voters that have the whole log. One that died since the last entry has it too, but does not respond. */
  #caughtUpVoters(nowMs: number): Member[] {
    if (this.#state.role !== "leader") return [];
    return [...this.#state.followers.values()]
      .filter(({ matchIndex }) => matchIndex === this.#state.log.lastIndex)
      .filter(({ lastResponseMs }) => nowMs - lastResponseMs < this.#state.options.electionTimeoutMs)
      .map(({ member }) => member)
      .filter(({ instance }) => isVoter(this.#state.membership.current, instance));
  }

  #requestTransfer(target: Member | undefined): Member | undefined {
    if (target) this.#state.send(target, { type: "transferRequest", term: this.#state.term });
    return target;
  }

  /**
   * Sends the snapshot that a `snapshotNeeded` effect requested. `lastIndex` is the last index included in `state`.
   */
  provideSnapshot(to: Member, lastIndex: number, state: unknown): void {
    const lastTerm = this.#state.log.termAt(lastIndex);
    if (this.#state.role !== "leader" || lastTerm === undefined) return;
    const membership = this.#state.membership.at(lastIndex);
    this.#state.send(to, {
      type: "snapshotRequest",
      term: this.#state.term,
      leader: this.#state.self,
      lastIndex,
      lastTerm,
      membership,
      state,
    });
  }

  /** Starts the leadership of this replica after it has won an election. */
  becomeLeader(nowMs: number): void {
    this.#state.followers.clear();
    this.#state.setRole("leader", this.#state.self);
    this.syncFollowers(nowMs);
    this.#termStartIndex = this.append({ type: "leaderStart" }).index;
    this.#nextHeartbeatMs = this.#nextHeartbeatTime(nowMs);
    this.flush(nowMs);
  }

  /** Sends heartbeats when they are due. Steps down when the majority is lost. */
  tick(nowMs: number): void {
    if (!this.hasMajority(nowMs)) return this.#state.becomeFollower(this.#state.term, undefined, nowMs);
    if (nowMs < this.#nextHeartbeatMs) return;
    this.#nextHeartbeatMs = this.#nextHeartbeatTime(nowMs);
    this.#dropRemovedFollowers(nowMs);
    for (const progress of this.#state.followers.values()) {
      if (!this.#sendEntries(progress, nowMs)) this.#sendAppend(progress, nowMs, 0);
    }
  }

  /** Whether this replica leads and a majority has responded to it within the election time-out. */
  hasMajority(nowMs: number): boolean {
    if (this.#state.role !== "leader") return false;
    const self = this.#state.self.instance;
    const responsive = this.#state.membership.current.voters.filter((voter) => {
      if (voter.instance === self) return true;
      const silenceMs = this.timeSinceResponseMs(voter.instance, nowMs);
      return silenceMs !== undefined && silenceMs < this.#state.options.electionTimeoutMs;
    });
    return responsive.length >= majoritySize(this.#state.membership.current);
  }

  /** Appends an entry to the log. It is sent by the next {@link flush}. */
  append(payload: EntryPayload<Command>): ProposedAt {
    const entry = this.#state.log.append(this.#state.term, payload);
    this.#state.membership.observe([entry]);
    return { index: entry.index, term: entry.term };
  }

  /**
   * Drops removed replicas that have received the entry of their removal, or that have not responded for too long.
   */
  #dropRemovedFollowers(nowMs: number): void {
    const members = allMembers(this.#state.membership.current);
    for (const [instance, progress] of this.#state.followers) {
      if (members.some((member) => member.instance === instance)) continue;
      const notified = progress.matchIndex >= this.#state.membership.currentIndex;
      const timedOut =
        nowMs - progress.lastResponseMs >
        REMOVED_REPLICA_GRACE_ELECTION_TIMEOUTS * this.#state.options.electionTimeoutMs;
      if (notified || timedOut) this.#state.followers.delete(instance);
    }
  }

  /** Starts to track the progress of new replicas. */
  syncFollowers(nowMs: number): void {
    const otherMembers = allMembers(this.#state.membership.current).filter(
      (member) => member.instance !== this.#state.self.instance,
    );
    for (const member of otherMembers) {
      if (this.#state.followers.has(member.instance)) continue;
      this.#state.followers.set(
        member.instance,
        new FollowerProgress(member, this.#state.log.lastIndex + 1, nowMs),
      );
    }
  }

  /**
   * Sends the entries that the follower lacks, up to the limit on entries in flight. Returns whether anything was
   * sent.
   */
  #sendEntries(progress: FollowerProgress, nowMs: number): boolean {
    let sent = false;
    const limit = progress.matchIndex + this.#state.options.maxEntriesInFlight;
    while (progress.nextIndex <= Math.min(this.#state.log.lastIndex, limit)) {
      const count = this.#sendAppend(progress, nowMs, this.#state.options.maxEntriesPerAppend);
      if (count === 0) break;
      sent = true;
    }
    return sent;
  }

  #sendAppend(progress: FollowerProgress, nowMs: number, maxEntries: number): number {
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = this.#state.log.termAt(previousIndex);
    if (previousTerm === undefined) {
      this.#requestSnapshot(progress, nowMs);
      return 0;
    }
    const entries = this.#state.log.slice(progress.nextIndex, maxEntries);
    progress.nextIndex += entries.length;
    this.#state.send(progress.member, {
      type: "appendRequest",
      term: this.#state.term,
      leader: this.#state.self,
      previousIndex,
      previousTerm,
      entries,
      commitIndex: this.#state.commitIndex,
    });
    return entries.length;
  }

  #requestSnapshot(progress: FollowerProgress, nowMs: number): void {
    if (nowMs - progress.snapshotRequestedMs < this.#state.options.electionTimeoutMs) return;
    progress.snapshotRequestedMs = nowMs;
    this.#state.emit({ type: "snapshotNeeded", to: progress.member });
  }

  /** Handles a follower's response to entries, a heartbeat or a snapshot. */
  onAppendResponse(response: AppendResponse, nowMs: number): void {
    const progress = this.#state.followers.get(response.follower);
    if (this.#state.role !== "leader" || response.term !== this.#state.term || !progress) return;
    progress.lastResponseMs = nowMs;
    progress.hasResponded = true;
    if (response.success) progress.acknowledge(response.matchIndex);
    else progress.reject(response.matchIndex, nowMs, this.#state.options.heartbeatIntervalMs);
    this.#advanceCommit(nowMs);
    if (this.#state.role === "leader") this.#sendEntries(progress, nowMs);
  }

  /**
   * Commits what a majority of the voters has stored. Only entries of this term are counted (Raft, section 5.4.2).
   */
  #advanceCommit(nowMs: number): void {
    if (this.#state.role !== "leader") return;
    const matchIndexes = this.#state.membership.current.voters.map((voter) =>
      voter.instance === this.#state.self.instance
        ? this.#state.log.lastIndex
        : (this.#state.followers.get(voter.instance)?.matchIndex ?? 0),
    );
    matchIndexes.sort((left, right) => right - left);
    const candidate = matchIndexes[majoritySize(this.#state.membership.current) - 1] ?? 0;
    if (candidate <= this.#state.commitIndex || this.#state.log.termAt(candidate) !== this.#state.term)
      return;
    this.#state.commitTo(candidate);
    this.#stepDownIfRemoved(nowMs);
  }

  #stepDownIfRemoved(nowMs: number): void {
    const removed = !this.#state.isVoter;
    if (removed && this.#state.membership.currentIndex <= this.#state.commitIndex) {
      this.#state.becomeFollower(this.#state.term, undefined, nowMs);
    }
  }

  /** All groups that share a clock send their heartbeats at the same times, so that the driver can batch them. */
  #nextHeartbeatTime(nowMs: number): number {
    const { heartbeatIntervalMs } = this.#state.options;
    return (Math.floor(nowMs / heartbeatIntervalMs) + 1) * heartbeatIntervalMs;
  }
}
