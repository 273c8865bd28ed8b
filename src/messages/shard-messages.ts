import type { Member, ShardGroupMessage } from "../coordination/shard-group/index.ts";
import type { ShardCommand } from "../scheduling/shard-state.ts";

/** A message between two replicas of a shard. */
export interface ShardMessage {
  readonly type: "shard";
  readonly shard: number;
  /** Instance of the addressed replica. A different instance at the same address must ignore the message. */
  readonly to: string;
  readonly message: ShardGroupMessage<ShardCommand>;
}

/**
 * The heartbeat of one shard: an append request without entries, and without the fields that {@link ShardHeartbeats} holds
 * once.
 */
export interface HeartbeatItem {
  readonly shard: number;
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly commitIndex: number;
}

/** The heartbeats of all shards that the sender leads and the receiver follows, sent as one message. */
export interface ShardHeartbeats {
  readonly type: "shardHeartbeats";
  readonly to: string;
  readonly leader: Member;
  readonly items: readonly HeartbeatItem[];
}

/** The response to an append request of one shard. */
export interface AcknowledgementItem {
  readonly shard: number;
  readonly term: number;
  readonly success: boolean;
  readonly matchIndex: number;
}

/** The responses of one node to append requests of another, sent as one message. */
export interface ShardAcknowledgements {
  readonly type: "shardAcknowledgements";
  readonly to: string;
  readonly follower: string;
  readonly items: readonly AcknowledgementItem[];
}
