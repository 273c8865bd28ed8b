/**
 * A replica of the chain of accepted configuration changes. It only ever grows by the next version, so what is in
 * force never reverts, whatever order news arrives in.
 */

/** One accepted change. */
export interface ChainEntry {
  /** Position in the chain, from 1, without gaps. */
  readonly version: number;
  readonly key: string;
  /** The new content; undefined when the key was removed. */
  readonly content: string | undefined;
}

/** See the module's comment. */
export class ConfigurationChain<Entry extends ChainEntry> {
  readonly #entries: Entry[] = [];
  readonly #newestByKey = new Map<string, Entry>();

  /** The newest version held here. */
  get version(): number {
    return this.#entries.length;
  }

  /**
   * Takes over entries; those already held are passed over.
   *
   * @returns the entries that are new here; empty when there is a gap before them
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

  /** The newest entry of a key. */
  get(key: string): Entry | undefined {
    return this.#newestByKey.get(key);
  }

  /** The newest entries of all keys with a prefix. */
  newestWithPrefix(prefix: string): readonly Entry[] {
    return [...this.#newestByKey.values()].filter((entry) => entry.key.startsWith(prefix));
  }

  /** Every entry of the keys with a prefix, oldest first. */
  historyOf(prefix: string): readonly Entry[] {
    return this.#entries.filter((entry) => entry.key.startsWith(prefix));
  }

  /** Up to `limit` entries after a version. */
  entriesAfter(version: number, limit: number): readonly Entry[] {
    return this.#entries.slice(version, version + limit);
  }
}
