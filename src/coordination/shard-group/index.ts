export type { ShardGroupEffect, ShardRole } from "./effects.ts";
export type { EntryPayload, LogEntry } from "./log-entry.ts";
export { allMembers, isVoter, type Member, type Membership, majoritySize } from "./member.ts";
export type { ShardGroupMessage } from "./messages.ts";
export type { ShardGroupOptions } from "./options.ts";
export type { ProposedAt } from "./proposed-at.ts";
export { ShardGroup } from "./shard-group.ts";
