import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { ShardGroupEffect, ShardRole } from "./effects.ts";
import type { FollowerProgress } from "./follower-progress.ts";
import { isVoter, type Member } from "./member.ts";
import { MembershipTracker } from "./membership-tracker.ts";
import type { ShardGroupMessage } from "./messages.ts";
import type { ResolvedShardGroupOptions } from "./options.ts";
import { ReplicatedLog } from "./replicated-log.ts";

/**
 * State that the parts of a replica share: its role and term, its log, and the effects to be carried out. It is
 * changed by elections ({@link Election}), the leader's side of replication ({@link Leadership}) and the follower's
 * side ({@link FollowerReplication}), one at a time.
 */
export class ReplicaState<Command> {
  readonly options: ResolvedShardGroupOptions;
  readonly log = new ReplicatedLog<Command>();
  readonly membership = new MembershipTracker<Command>(this.log);
  /** Replication progress of the other replicas by instance; empty unless this replica is the leader. */
  readonly followers = new Map<string, FollowerProgress>();
  role: ShardRole = "follower";
  term = 0;
  /** Instance of the candidate that this replica voted for in the current term. */
  votedFor: string | undefined;
  /** The leader of the current term, as far as this replica knows. */
  leader: Member | undefined;
  commitIndex = 0;
  electionDeadlineMs: number;
  lastLeaderMessageMs = Number.NEGATIVE_INFINITY;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  #effects: ShardGroupEffect<Command>[] = [];

  constructor(options: ResolvedShardGroupOptions, nowMs: number) {
    this.options = options;
    this.#random = xoroshiro128plus(options.seed);
    this.electionDeadlineMs = nowMs + this.#randomElectionDelayMs();
  }

  /** This replica. */
  get self(): Member {
    return this.options.self;
  }

  /** Whether this replica is a voter. */
  get isVoter(): boolean {
    return isVoter(this.membership.current, this.self.instance);
  }

  /** Returns the effects emitted since the last call. */
  takeEffects(): readonly ShardGroupEffect<Command>[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Adds an effect. */
  emit(effect: ShardGroupEffect<Command>): void {
    this.#effects.push(effect);
  }

  /** Emits an effect that sends a message to another replica. */
  send(to: Member, message: ShardGroupMessage<Command>): void {
    this.emit({ type: "send", to, message });
  }

  /** Changes the role in the current term. */
  setRole(role: ShardRole, leader: Member | undefined): void {
    this.role = role;
    this.leader = leader;
    this.emit({ type: "roleChanged", role, term: this.term, leader });
  }

  /** Becomes a follower of `leader`, if known, in a term that is not older than the current one. */
  becomeFollower(term: number, leader: Member | undefined, nowMs: number): void {
    if (term > this.term) {
      this.term = term;
      this.votedFor = undefined;
    }
    this.followers.clear();
    this.postponeElection(nowMs);
    if (this.role !== "follower" || this.leader?.instance !== leader?.instance) {
      this.setRole("follower", leader);
    }
  }

  /** Commits the log up to `index` and emits an effect that applies the newly committed entries. */
  commitTo(index: number): void {
    if (index <= this.commitIndex) return;
    const entries = this.log.slice(this.commitIndex + 1, index - this.commitIndex);
    this.commitIndex = index;
    this.emit({ type: "apply", entries });
  }

  /** Restarts the election time-out. */
  postponeElection(nowMs: number): void {
    this.electionDeadlineMs = nowMs + this.#randomElectionDelayMs();
  }

  #randomElectionDelayMs(): number {
    const timeoutMs = this.options.electionTimeoutMs;
    return timeoutMs + uniformInt(this.#random, 0, timeoutMs);
  }
}
