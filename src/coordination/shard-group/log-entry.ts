import type { Membership } from "./member.ts";

/**
 * The content of an entry: a command for the shard's state, a membership change, or the first entry of a new leader.
 */
export type EntryPayload<Command> =
  | { readonly type: "command"; readonly command: Command }
  | { readonly type: "membership"; readonly membership: Membership }
  | { readonly type: "leaderStart" };

/**
 * One entry of the replicated log. Index and term identify it: two entries with the same index and term are equal.
 */
export interface LogEntry<Command> {
  /** Position in the log, from 1, without gaps. */
  readonly index: number;
  /** Term of the leader that appended the entry. */
  readonly term: number;
  readonly payload: EntryPayload<Command>;
}
