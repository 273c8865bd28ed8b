import type { LogEntry } from "./log-entry.ts";
import type { Membership } from "./member.ts";
import type { ReplicatedLog } from "./replicated-log.ts";

/** The membership of an empty replica until it receives one from the leader. */
export const EMPTY_MEMBERSHIP: Membership = { voters: [], learners: [] };

/**
 * Tracks the membership in force. By the rule of single-server changes, this is the newest membership in the log,
 * committed or not. When its entry is overwritten, the previous membership is in force again.
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

  /** Index of the entry that contains {@link current}. */
  get currentIndex(): number {
    return this.#currentIndex;
  }

  /** Searches the whole log again, after entries were overwritten. */
  refresh(): void {
    const newest = this.#newestAtOrBefore(this.#log.lastIndex);
    this.#current = newest?.membership ?? this.#base;
    this.#currentIndex = newest?.index ?? this.#log.truncatedIndex;
  }

  /** Applies membership changes among entries that were appended to the log. */
  observe(entries: readonly LogEntry<Command>[]): void {
    for (const entry of entries) {
      const membership = membershipOf(entry);
      if (!membership || entry.index < this.#currentIndex) continue;
      this.#current = membership;
      this.#currentIndex = entry.index;
    }
  }

  /** Returns the membership as of an entry that is still in the log or is the truncation point. */
  at(index: number): Membership {
    return this.#newestAtOrBefore(index)?.membership ?? this.#base;
  }

  /** Must be called before the log is truncated at `index`. */
  prepareTruncation(index: number): void {
    this.#base = this.at(index);
  }

  /** Replaces the base membership by that of a snapshot. */
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
