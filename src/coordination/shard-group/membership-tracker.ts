import type { LogEntry } from "./log-entry.ts";
import type { Membership } from "./member.ts";
import type { ReplicatedLog } from "./replicated-log.ts";

/** Nobody: what an empty replica knows before the leader tells it more. */
export const EMPTY_MEMBERSHIP: Membership = { voters: [], learners: [] };

/**
 * Finds the membership in force. By the rule of single-server changes it is the newest one in the journal,
 * committed or not; when the entry that brought it is overwritten, the one before is in force again.
 */
export class MembershipTracker<Command> {
  readonly #log: ReplicatedLog<Command>;
  #base: Membership = EMPTY_MEMBERSHIP;
  #current: Membership = EMPTY_MEMBERSHIP;
  #currentIndex = 0;

  constructor(log: ReplicatedLog<Command>) {
    this.#log = log;
  }

  /** The membership in force. */
  get current(): Membership {
    return this.#current;
  }

  /** Index of the entry that brought {@link current}. */
  get currentIndex(): number {
    return this.#currentIndex;
  }

  /** Looks at the whole journal again, after entries were overwritten. */
  refresh(): void {
    const newest = this.#newestAtOrBefore(this.#log.lastIndex);
    this.#current = newest?.membership ?? this.#base;
    this.#currentIndex = newest?.index ?? this.#log.truncatedIndex;
  }

  /** Takes note of entries added at the end of the journal. */
  observe(entries: readonly LogEntry<Command>[]): void {
    for (const entry of entries) {
      const membership = membershipOf(entry);
      if (!membership || entry.index < this.#currentIndex) continue;
      this.#current = membership;
      this.#currentIndex = entry.index;
    }
  }

  /** The membership as of an entry that is still held or is the truncation point. */
  at(index: number): Membership {
    return this.#newestAtOrBefore(index)?.membership ?? this.#base;
  }

  /** Must be called before the journal is truncated at `index`. */
  prepareTruncation(index: number): void {
    this.#base = this.at(index);
  }

  /** Starts over with the membership of a snapshot. */
  reset(membership: Membership): void {
    this.#base = membership;
    this.refresh();
  }

  #newestAtOrBefore(index: number): { membership: Membership; index: number } | undefined {
    for (const entry of this.#log.newestFirst()) {
      const membership = membershipOf(entry);
      if (entry.index <= index && membership) return { membership, index: entry.index };
    }
    return undefined;
  }
}

function membershipOf<Command>(entry: LogEntry<Command>): Membership | undefined {
  return entry.payload.type === "membership" ? entry.payload.membership : undefined;
}
