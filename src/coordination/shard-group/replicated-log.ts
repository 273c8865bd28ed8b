import type { EntryPayload, LogEntry } from "./log-entry.ts";

/**
 * The log of one replica: consecutive entries after a truncation point.
 * It does not track which entries are committed.
 */
export class ReplicatedLog<Command> {
  #entries: LogEntry<Command>[] = [];
  #truncatedIndex = 0;
  #truncatedTerm = 0;

  /** Index of the last entry, or of the truncation point when the log is empty. */
  get lastIndex(): number {
    return this.#truncatedIndex + this.#entries.length;
  }

  /** Term of the entry at {@link lastIndex}. */
  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#truncatedTerm;
  }

  /** Index up to which entries have been dropped; their effect is only in the applied state. */
  get truncatedIndex(): number {
    return this.#truncatedIndex;
  }

  /** Number of entries in memory. */
  get entryCount(): number {
    return this.#entries.length;
  }

  /** Term of the entry at `index`, or undefined when it is truncated or not yet written. */
  termAt(index: number): number | undefined {
    if (index === this.#truncatedIndex) return this.#truncatedTerm;
    return this.#entries[index - this.#truncatedIndex - 1]?.term;
  }

  /** Appends a new entry; only the leader does this. */
  append(term: number, payload: EntryPayload<Command>): LogEntry<Command> {
    const entry: LogEntry<Command> = { index: this.lastIndex + 1, term, payload };
    this.#entries.push(entry);
    return entry;
  }

  /**
   * Adds entries received from the leader. An entry that conflicts with an existing one replaces it and removes all
   * entries after it. Entries that already exist or were truncated are skipped.
   *
   * @returns whether an existing entry was overwritten
   */
  merge(entries: readonly LogEntry<Command>[]): boolean {
    let overwrote = false;
    for (const entry of entries) {
      if (entry.index <= this.#truncatedIndex) continue;
      const localTerm = this.termAt(entry.index);
      if (localTerm === entry.term) continue;
      if (localTerm !== undefined) {
        this.#entries.length = entry.index - this.#truncatedIndex - 1;
        overwrote = true;
      }
      this.#entries.push(entry);
    }
    return overwrote;
  }

  /** Returns up to `limit` entries, starting at `index`. */
  slice(index: number, limit: number): readonly LogEntry<Command>[] {
    const start = index - this.#truncatedIndex - 1;
    return this.#entries.slice(start, start + limit);
  }

  /** Iterates over the entries in memory, newest first. */
  *newestFirst(): IterableIterator<LogEntry<Command>> {
    for (let position = this.#entries.length - 1; position >= 0; position--) yield this.#entries[position];
  }

  /** Drops the entries up to and including `index`. */
  truncate(index: number): void {
    const term = this.termAt(index);
    if (index <= this.#truncatedIndex || term === undefined) return;
    this.#entries = this.#entries.slice(index - this.#truncatedIndex);
    this.#truncatedIndex = index;
    this.#truncatedTerm = term;
  }

  /** Empties the log and sets its truncation point, after a snapshot was restored. */
  reset(index: number, term: number): void {
    this.#entries = [];
    this.#truncatedIndex = index;
    this.#truncatedTerm = term;
  }
}
