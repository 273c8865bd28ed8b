import type { Member } from "./member.ts";
import type { AppendRequest, SnapshotRequest } from "./messages.ts";
import type { ReplicaState } from "./replica-state.ts";

/** The follower's side of replication: stores what the leader sends and reports up to which index the logs match. */
export class FollowerReplication<Command> {
  readonly #state: ReplicaState<Command>;

  constructor(state: ReplicaState<Command>) {
    this.#state = state;
  }

  /** Handles entries or a heartbeat from a leader. */
  onAppendRequest(request: AppendRequest<Command>, nowMs: number): void {
    if (request.term < this.#state.term) return this.#answerAppend(request.leader, false, 0);
    this.#followLeader(request.leader, nowMs);
    const localTerm = this.#state.log.termAt(request.previousIndex);
    const precedesTruncation = request.previousIndex < this.#state.log.truncatedIndex;
    if (!precedesTruncation && localTerm !== request.previousTerm) {
      return this.#answerAppend(request.leader, false, this.#lastPossibleMatch(request.previousIndex));
    }
    if (this.#state.log.merge(request.entries)) this.#state.membership.refresh();
    else this.#state.membership.observe(request.entries);
    const matchIndex = request.previousIndex + request.entries.length;
    this.#state.commitTo(Math.min(request.commitIndex, matchIndex));
    this.#answerAppend(request.leader, true, matchIndex);
  }

  /**
   * Returns the last index at which the logs may match. After a conflict that is the last committed one: all later
   * entries may differ, and a search in steps would have the leader send its entries again at each step.
   */
  #lastPossibleMatch(previousIndex: number): number {
    return previousIndex > this.#state.log.lastIndex ? this.#state.log.lastIndex : this.#state.commitIndex;
  }

  #followLeader(leader: Member, nowMs: number): void {
    this.#state.lastLeaderMessageMs = nowMs;
    if (this.#state.role !== "follower" || this.#state.leader?.instance !== leader.instance) {
      this.#state.becomeFollower(this.#state.term, leader, nowMs);
    }
    this.#state.postponeElection(nowMs);
  }

  #answerAppend(leader: Member, success: boolean, matchIndex: number): void {
    this.#state.send(leader, {
      type: "appendResponse",
      term: this.#state.term,
      follower: this.#state.self.instance,
      success,
      matchIndex,
    });
  }

  /**
   * Handles a snapshot, which the leader sends when this replica lacks entries that were truncated from the leader's
   * log.
   */
  onSnapshotRequest(request: SnapshotRequest, nowMs: number): void {
    if (request.term < this.#state.term) return this.#answerAppend(request.leader, false, 0);
    this.#followLeader(request.leader, nowMs);
    if (this.#state.log.termAt(request.lastIndex) === request.lastTerm) {
      // A late duplicate of a snapshot. Entries after it may already be acknowledged, so nothing may be dropped.
      this.#state.commitTo(request.lastIndex);
    } else if (request.lastIndex > this.#state.commitIndex) {
      this.#state.log.reset(request.lastIndex, request.lastTerm);
      this.#state.membership.reset(request.membership);
      this.#state.commitIndex = request.lastIndex;
      this.#state.emit({ type: "restore", state: request.state, lastIndex: request.lastIndex });
    }
    this.#answerAppend(request.leader, true, request.lastIndex);
  }
}
