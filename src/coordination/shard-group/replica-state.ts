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
 * What the parts of a replica share: its place in the group, its journal, and the effects that they gather. Elections
 * ({@link Election}), the leader's side of replication ({@link Leadership}) and the follower's ({@link Following})
 * change it, one at a time.
 */
export class ReplicaState<Command> {
  readonly options: ResolvedShardGroupOptions;
  readonly log = new ReplicatedLog<Command>();
  readonly membership = new MembershipTracker<Command>(this.log);
  /** The other replicas, as their leader knows them; empty unless this replica leads. */
  readonly followers = new Map<string, FollowerProgress>();
  role: ShardRole = "follower";
  term = 0;
  /** The candidate that has this replica's vote in the current term. */
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

  /** Whether this replica votes. */
  get isVoter(): boolean {
    return isVoter(this.membership.current, this.self.instance);
  }

  /** Hands over the effects gathered since the last call. */
  takeEffects(): readonly ShardGroupEffect<Command>[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Adds an effect. */
  emit(effect: ShardGroupEffect<Command>): void {
    this.#effects.push(effect);
  }

  /** Sends a message to another replica. */
  send(to: Member, message: ShardGroupMessage<Command>): void {
    this.emit({ type: "send", to, message });
  }

  /** Takes on a role in the current term. */
  setRole(role: ShardRole, leader: Member | undefined): void {
    this.role = role;
    this.leader = leader;
    this.emit({ type: "roleChanged", role, term: this.term, leader });
  }

  /** Follows `leader`, or nobody yet, in a term that is not older than the current one. */
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

  /** Commits the journal up to `index`; its entries are to be applied. */
  commitTo(index: number): void {
    if (index <= this.commitIndex) return;
    const entries = this.log.slice(this.commitIndex + 1, index - this.commitIndex);
    this.commitIndex = index;
    this.emit({ type: "apply", entries });
  }

  /** The next election starts no earlier than after another election time-out. */
  postponeElection(nowMs: number): void {
    this.electionDeadlineMs = nowMs + this.#randomElectionDelayMs();
  }

  #randomElectionDelayMs(): number {
    const timeoutMs = this.options.electionTimeoutMs;
    return timeoutMs + uniformInt(this.#random, 0, timeoutMs);
  }
}
