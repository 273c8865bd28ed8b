import type { Member, ShardGroupMessage } from "../coordination/shard-group/index.ts";
import type { ShardCommand } from "../scheduling/shard-state.ts";

/** A message between two replicas of a shard. */
export interface ShardMessage {
  readonly type: "shard";
  readonly shard: number;
  /** The replica that is meant; another instance under the same address must not answer for it. */
  readonly to: string;
  readonly message: ShardGroupMessage<ShardCommand>;
}

/** The heartbeat of one shard; an append request without entries, less what all heartbeats to a node share. */
export interface HeartbeatItem {
  readonly shard: number;
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly commitIndex: number;
}

/** The heartbeats of all shards that one node leads and another follows. */
export interface ShardHeartbeats {
  readonly type: "shardHeartbeats";
  readonly to: string;
  readonly leader: Member;
  readonly items: readonly HeartbeatItem[];
}

/** The answer to an append request of one shard. */
export interface AcknowledgementItem {
  readonly shard: number;
  readonly term: number;
  readonly success: boolean;
  readonly matchIndex: number;
}

/** The answers of one node to another. */
export interface ShardAcknowledgements {
  readonly type: "shardAcknowledgements";
  readonly to: string;
  readonly follower: string;
  readonly items: readonly AcknowledgementItem[];
}
