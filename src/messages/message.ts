import type { SnapshotAnnouncement } from "../coordination/snapshot-relay/index.ts";
import type { AbandonCall, CallEvent, SubmitCall } from "./call-messages.ts";
import type { RpcRequest, RpcResponse } from "./rpc-messages.ts";
import type { ShardAcknowledgements, ShardHeartbeats, ShardMessage } from "./shard-messages.ts";
import type { SlotMessage } from "./slot-messages.ts";

/**
 * Announces the sender's configuration version; a receiver with an older version fetches the newer entries from the sender.
 */
export interface ConfigurationNews {
  readonly type: "configurationNews";
  readonly version: number;
}

/** Announces that a node has read the platform's list of machines. */
export interface MachineListNews {
  readonly type: "machineListNews";
  readonly news: SnapshotAnnouncement;
}

/** Any message between processes of the system. */
export type Message =
  | ConfigurationNews
  | MachineListNews
  | ShardMessage
  | ShardHeartbeats
  | ShardAcknowledgements
  | SubmitCall
  | AbandonCall
  | CallEvent
  | SlotMessage
  | RpcRequest
  | RpcResponse;
