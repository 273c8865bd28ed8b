/**
 * A replica of the chain of accepted configuration changes. It only grows, and only by the next version, so the current
 * configuration never reverts, in whatever order changes arrive.
 */

/** One accepted configuration change. */
export interface ChainEntry {
  /** Position in the chain, starting at 1, without gaps. */
  readonly version: number;
  readonly key: string;
  /** The new content; undefined if the key was removed. */
  readonly content: string | undefined;
}

/** Holds the entries of the chain in order, and the newest entry of each key. */
export class ConfigurationChain<Entry extends ChainEntry> {
  readonly #entries: Entry[] = [];
  readonly #newestByKey = new Map<string, Entry>();

  /** Version of the newest entry. */
  get version(): number {
    return this.#entries.length;
  }

  /**
   * Appends entries. Entries that the chain already has are skipped.
   *
   * @returns the appended entries; empty if there is a gap before them
   */
  extend(entries: readonly Entry[]): readonly Entry[] {
    const added: Entry[] = [];
    for (const entry of entries) {
      if (entry.version !== this.version + 1) continue;
      this.#entries.push(entry);
      this.#newestByKey.set(entry.key, entry);
      added.push(entry);
    }
    return added;
  }

  /** Returns the newest entry of a key. */
  get(key: string): Entry | undefined {
    return this.#newestByKey.get(key);
  }

  /** Returns the newest entries of all keys with a prefix. */
  newestWithPrefix(prefix: string): readonly Entry[] {
    return [...this.#newestByKey.values()].filter((entry) => entry.key.startsWith(prefix));
  }

  /** Returns all entries of the keys with a prefix, oldest first. */
  historyOf(prefix: string): readonly Entry[] {
    return this.#entries.filter((entry) => entry.key.startsWith(prefix));
  }

  /** Returns up to `limit` entries after a version. */
  entriesAfter(version: number, limit: number): readonly Entry[] {
    return this.#entries.slice(version, version + limit);
  }
}
