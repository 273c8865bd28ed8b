import type { ShardGroupMessage } from "../coordination/shard-group/index.ts";
import type { ShardCommand } from "../scheduling/shard-state.ts";
import type { AbandonCall, CallEvent, SubmitCall } from "./call-messages.ts";
import type { RpcRequest, RpcResponse } from "./rpc-messages.ts";
import type { SlotMessage } from "./slot-messages.ts";

/** A message between two replicas of a shard. */
export interface ShardMessage {
  readonly type: "shard";
  readonly shard: number;
  /** The replica that is meant; another instance under the same address must not answer for it. */
  readonly to: string;
  readonly message: ShardGroupMessage<ShardCommand>;
}

/** Every message between processes of the system. */
export type Message =
  | ShardMessage
  | SubmitCall
  | AbandonCall
  | CallEvent
  | SlotMessage
  | RpcRequest
  | RpcResponse;
