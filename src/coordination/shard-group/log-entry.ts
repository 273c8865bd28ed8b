import type { Membership } from "./member.ts";

/** What an entry carries: a command for the shard's state, a change of replicas, or a leader's first entry. */
export type EntryPayload<Command> =
  | { readonly type: "command"; readonly command: Command }
  | { readonly type: "membership"; readonly membership: Membership }
  | { readonly type: "leaderStart" };

/** One entry of the replicated journal. Index and term identify it; two entries with both equal are equal. */
export interface LogEntry<Command> {
  /** Position in the journal, from 1, without gaps. */
  readonly index: number;
  /** Term of the leader that wrote the entry. */
  readonly term: number;
  readonly payload: EntryPayload<Command>;
}
