import type { LogEntry } from "./log-entry.ts";
import type { Member, Membership } from "./member.ts";

/** Requests a vote. A pre-vote only asks whether a vote would be granted, and changes no state. */
export interface VoteRequest {
  readonly type: "voteRequest";
  readonly term: number;
  readonly candidate: Member;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly preVote: boolean;
  /** Set when the leader transfers leadership to this candidate: voters then skip the check for a live leader. */
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

/** Replicates entries. A request without entries is a heartbeat. */
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
  /** On success, the last index known to match; on failure, the last index at which the logs may still match. */
  readonly matchIndex: number;
}

/** Replaces the whole state of a follower that lacks entries which the leader has truncated from its log. */
export interface SnapshotRequest {
  readonly type: "snapshotRequest";
  readonly term: number;
  readonly leader: Member;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly membership: Membership;
  /** The state as encoded by the application; opaque to the shard group. */
  readonly state: unknown;
}

/** Sent by the leader to make the receiver start an election at once, for a planned transfer of leadership. */
export interface TransferRequest {
  readonly type: "transferRequest";
  readonly term: number;
}

/** Any message between replicas of one shard group. */
export type ShardGroupMessage<Command> =
  | VoteRequest
  | VoteResponse
  | AppendRequest<Command>
  | AppendResponse
  | SnapshotRequest
  | TransferRequest;
