import type { AbandonCall, CallEvent, SubmitCall } from "./call-messages.ts";
import type { RpcRequest, RpcResponse } from "./rpc-messages.ts";
import type { ShardAcknowledgements, ShardHeartbeats, ShardMessage } from "./shard-messages.ts";
import type { SlotMessage } from "./slot-messages.ts";

/** Every message between processes of the system. */
export type Message =
  | ShardMessage
  | ShardHeartbeats
  | ShardAcknowledgements
  | SubmitCall
  | AbandonCall
  | CallEvent
  | SlotMessage
  | RpcRequest
  | RpcResponse;
