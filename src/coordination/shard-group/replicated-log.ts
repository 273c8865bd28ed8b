import type { EntryPayload, LogEntry } from "./log-entry.ts";

/**
 * The journal of one replica: a run of entries after a truncation point.
 * Holds no opinion on what is committed.
 */
export class ReplicatedLog<Command> {
  #entries: LogEntry<Command>[] = [];
  #truncatedIndex = 0;
  #truncatedTerm = 0;

  /** Index of the last entry, or of the truncation point when the journal is empty. */
  get lastIndex(): number {
    return this.#truncatedIndex + this.#entries.length;
  }

  /** Term of the entry at {@link lastIndex}. */
  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#truncatedTerm;
  }

  /** Index up to which entries have been dropped; they live on only in the applied state. */
  get truncatedIndex(): number {
    return this.#truncatedIndex;
  }

  /** Number of entries held in memory. */
  get entryCount(): number {
    return this.#entries.length;
  }

  /** Term of the entry at `index`, or undefined when it is truncated or not yet written. */
  termAt(index: number): number | undefined {
    if (index === this.#truncatedIndex) return this.#truncatedTerm;
    return this.#entries[index - this.#truncatedIndex - 1]?.term;
  }

  /** Writes a new entry at the end, as a leader does. */
  append(term: number, payload: EntryPayload<Command>): LogEntry<Command> {
    const entry: LogEntry<Command> = { index: this.lastIndex + 1, term, payload };
    this.#entries.push(entry);
    return entry;
  }

  /**
   * Takes over entries from the leader. An entry that conflicts with a held one removes that one and all after it.
   * Entries already held, or truncated, are passed over.
   *
   * @returns whether a held entry was overwritten
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

  /** Up to `limit` entries from `index` on. */
  slice(index: number, limit: number): readonly LogEntry<Command>[] {
    const start = index - this.#truncatedIndex - 1;
    return this.#entries.slice(start, start + limit);
  }

  /** Held entries, newest first. */
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

  /** Starts over after a snapshot. */
  reset(index: number, term: number): void {
    this.#entries = [];
    this.#truncatedIndex = index;
    this.#truncatedTerm = term;
  }
}
