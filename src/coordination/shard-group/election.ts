import { majoritySize } from "./member.ts";
import type { VoteRequest, VoteResponse } from "./messages.ts";
import type { ReplicaState } from "./replica-state.ts";

/**
 * Elections as seen by one replica: pre-votes, which keep a replica that was partitioned away from disrupting the group
 * when it reconnects; votes, one per term; and elections that the leader requests to transfer its leadership.
 */
export class Election<Command> {
  readonly #state: ReplicaState<Command>;
  readonly #onElected: (nowMs: number) => void;
  readonly #hasMajority: (nowMs: number) => boolean;
  #votes = new Set<string>();
  #isPreVote = false;

  /**
   * @param onElected called when this replica has won
   * @param hasMajority whether this replica leads and a majority has responded to it recently
   */
  constructor(
    state: ReplicaState<Command>,
    onElected: (nowMs: number) => void,
    hasMajority: (nowMs: number) => boolean,
  ) {
    this.#state = state;
    this.#onElected = onElected;
    this.#hasMajority = hasMajority;
  }

  /**
   * Starts a pre-vote, which finds out whether this replica would win an election. The term increases only when it
   * would.
   */
  startPreVote(nowMs: number): void {
    this.#state.postponeElection(nowMs);
    if (!this.#state.isVoter) return;
    if (this.#state.role !== "candidate" || this.#state.leader) this.#state.setRole("candidate", undefined);
    this.#isPreVote = true;
    this.#votes = new Set([this.#state.self.instance]);
    this.#requestVotes(this.#state.term + 1, true, false);
    this.#countVotes(nowMs);
  }

  #startElection(nowMs: number, transfer: boolean): void {
    this.#state.term += 1;
    this.#state.votedFor = this.#state.self.instance;
    this.#isPreVote = false;
    this.#votes = new Set([this.#state.self.instance]);
    this.#state.postponeElection(nowMs);
    this.#state.setRole("candidate", undefined);
    this.#requestVotes(this.#state.term, false, transfer);
    this.#countVotes(nowMs);
  }

  #requestVotes(term: number, preVote: boolean, transfer: boolean): void {
    for (const voter of this.#state.membership.current.voters) {
      if (voter.instance === this.#state.self.instance) continue;
      this.#state.send(voter, {
        type: "voteRequest",
        term,
        candidate: this.#state.self,
        lastIndex: this.#state.log.lastIndex,
        lastTerm: this.#state.log.lastTerm,
        preVote,
        transfer,
      });
    }
  }

  /** Handles a vote request from another replica. */
  onVoteRequest(request: VoteRequest, nowMs: number): void {
    if (!request.transfer && this.#hasLiveLeader(nowMs)) return;
    if (request.term > this.#state.term && !request.preVote)
      this.#state.becomeFollower(request.term, undefined, nowMs);
    const granted = this.#mayVoteFor(request);
    if (granted && !request.preVote) {
      this.#state.votedFor = request.candidate.instance;
      this.#state.postponeElection(nowMs);
    }
    this.#state.send(request.candidate, {
      type: "voteResponse",
      term: granted && request.preVote ? request.term : this.#state.term,
      voter: this.#state.self.instance,
      granted,
      preVote: request.preVote,
    });
  }

  #mayVoteFor(request: VoteRequest): boolean {
    if (request.term < this.#state.term) return false;
    const voteAvailable =
      this.#state.votedFor === undefined || this.#state.votedFor === request.candidate.instance;
    if (!request.preVote && !voteAvailable) return false;
    if (request.preVote && request.term === this.#state.term) return false;
    if (request.lastTerm !== this.#state.log.lastTerm) return request.lastTerm > this.#state.log.lastTerm;
    return request.lastIndex >= this.#state.log.lastIndex;
  }

  /**
   * Whether to ignore candidates: a follower does while it hears from its leader, a leader while it hears from a
   * majority.
   */
  #hasLiveLeader(nowMs: number): boolean {
    if (this.#state.role === "leader") return this.#hasMajority(nowMs);
    return nowMs - this.#state.lastLeaderMessageMs < this.#state.options.electionTimeoutMs;
  }

  /** Handles the response to a vote request. */
  onVoteResponse(response: VoteResponse, nowMs: number): void {
    if (this.#state.role !== "candidate" || !response.granted) return;
    if (response.preVote !== this.#isPreVote) return;
    const expectedTerm = this.#isPreVote ? this.#state.term + 1 : this.#state.term;
    if (response.term !== expectedTerm) return;
    this.#votes.add(response.voter);
    this.#countVotes(nowMs);
  }

  #countVotes(nowMs: number): void {
    const voteCount = this.#state.membership.current.voters.filter((voter) =>
      this.#votes.has(voter.instance),
    ).length;
    if (voteCount < majoritySize(this.#state.membership.current)) return;
    if (this.#isPreVote) this.#startElection(nowMs, false);
    else this.#onElected(nowMs);
  }

  /** Handles the leader's request to take over leadership. */
  onTransferRequest(term: number, nowMs: number): void {
    if (term !== this.#state.term || this.#state.role === "leader") return;
    if (this.#state.isVoter) this.#startElection(nowMs, true);
  }
}
