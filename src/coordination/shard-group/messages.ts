import type { LogEntry } from "./log-entry.ts";
import type { Member, Membership } from "./member.ts";

/** Asks for a vote. A pre-vote only asks whether a vote would be given, and changes no state. */
export interface VoteRequest {
  readonly type: "voteRequest";
  readonly term: number;
  readonly candidate: Member;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly preVote: boolean;
  /** Set when the leader asked this candidate to take over: voters then skip the check for a live leader. */
  readonly transfer: boolean;
}

/** Answers a {@link VoteRequest}. */
export interface VoteResponse {
  readonly type: "voteResponse";
  readonly term: number;
  readonly voter: string;
  readonly granted: boolean;
  readonly preVote: boolean;
}

/** Replicates entries; with none it is the heartbeat. */
export interface AppendRequest<Command> {
  readonly type: "appendRequest";
  readonly term: number;
  readonly leader: Member;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry<Command>[];
  readonly commitIndex: number;
}

/** Answers an {@link AppendRequest} or a {@link SnapshotRequest}. */
export interface AppendResponse {
  readonly type: "appendResponse";
  readonly term: number;
  readonly follower: string;
  readonly success: boolean;
  /** On success the last index known to match; on failure the last index the follower could match. */
  readonly matchIndex: number;
}

/** Replaces the whole state of a follower that is behind the leader's truncated journal. */
export interface SnapshotRequest {
  readonly type: "snapshotRequest";
  readonly term: number;
  readonly leader: Member;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly membership: Membership;
  /** The state as the application's codec gives it; opaque here. */
  readonly state: unknown;
}

/** The leader asks the receiver to stand for election at once, for a planned hand-over. */
export interface TransferRequest {
  readonly type: "transferRequest";
  readonly term: number;
}

/** Every message between replicas of one shard group. */
export type ShardGroupMessage<Command> =
  | VoteRequest
  | VoteResponse
  | AppendRequest<Command>
  | AppendResponse
  | SnapshotRequest
  | TransferRequest;
