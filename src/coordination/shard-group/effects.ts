import type { LogEntry } from "./log-entry.ts";
import type { Member } from "./member.ts";
import type { ShardGroupMessage } from "./messages.ts";

/** The current role of a replica in its group. */
export type ShardRole = "follower" | "candidate" | "leader";

/** What the driver must do after a step of a {@link ShardGroup}, in the order given. */
export type ShardGroupEffect<Command> =
  | { readonly type: "send"; readonly to: Member; readonly message: ShardGroupMessage<Command> }
  /** Apply these entries to the shard's state, in order. Each index is emitted exactly once. */
  | { readonly type: "apply"; readonly entries: readonly LogEntry<Command>[] }
  /** Replace the shard's state with this one. */
  | { readonly type: "restore"; readonly state: unknown; readonly lastIndex: number }
  /** Call `provideSnapshot` with the shard's state as of the last applied entry. */
  | { readonly type: "snapshotNeeded"; readonly to: Member }
  | {
      readonly type: "roleChanged";
      readonly role: ShardRole;
      readonly term: number;
      readonly leader: Member | undefined;
    };
