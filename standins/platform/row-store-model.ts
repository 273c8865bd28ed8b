/**
 * An in-memory version of the platform's transactional row store: row versions, conditions, and a change history that
 * can be compacted. It does no I/O.
 */

/** A row's current state, or its state after a change. */
export interface ModelRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  /** The value in base 64; undefined if the row was removed. */
  readonly value: string | undefined;
  readonly version: number;
}

/** Identifies a row. */
export type ModelKey = Pick<ModelRow, "table" | "part" | "key">;

/** An atomic transaction. Its writes apply only if every row of the conditions has the given version. */
export interface ModelTransaction {
  readonly conditions: readonly (ModelKey & { readonly version: number })[];
  readonly puts: readonly (ModelKey & { readonly value: string })[];
  readonly removes: readonly ModelKey[];
}

/** The result of a transaction. */
export interface ModelTransactionResult {
  readonly committed: boolean;
  readonly version: number;
  /** The rows that the conditions name, if the transaction was not committed. */
  readonly rows: readonly ModelRow[];
}

/** Holds the rows and the change history. */
export class RowStoreModel {
  readonly #rows = new Map<string, ModelRow>();
  /** The same rows by table and part, so that a read does not scan all rows. */
  readonly #rowsByPart = new Map<string, Map<string, ModelRow>>();
  #changes: ModelRow[] = [];
  #version = 0;
  /** Changes up to this version have been compacted away. */
  #compactedVersion = 0;
  #changeListeners: (() => void)[] = [];

  /** The version of the newest transaction. */
  get version(): number {
    return this.#version;
  }

  transact(transaction: ModelTransaction): ModelTransactionResult {
    const holds = transaction.conditions.every(
      (condition) => this.#versionOf(condition) === condition.version,
    );
    if (!holds) {
      const rows = transaction.conditions.flatMap((condition) => this.#rows.get(rowId(condition)) ?? []);
      return { committed: false, version: this.#version, rows };
    }
    this.#version += 1;
    for (const put of transaction.puts)
      this.#set({ ...keyOf(put), value: put.value, version: this.#version });
    for (const key of transaction.removes) {
      this.#set({ ...keyOf(key), value: undefined, version: this.#version });
    }
    const waiting = this.#changeListeners;
    this.#changeListeners = [];
    for (const wake of waiting) wake();
    return { committed: true, version: this.#version, rows: [] };
  }

  /** Rows of one table and part, sorted by key, from `from` up to but not including `until`. */
  read(table: string, part: string, from: string, until: string | undefined): ModelRow[] {
    return [...(this.#rowsByPart.get(partId({ table, part }))?.values() ?? [])]
      .filter((row) => row.key >= from && (until === undefined || row.key < until))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /** Names of the parts that have rows, sorted. */
  parts(): string[] {
    return [...new Set([...this.#rows.values()].map(({ part }) => part))].sort();
  }

  /** Changes of a table after a version; undefined if they have been compacted away. */
  changes(table: string, afterVersion: number): ModelRow[] | undefined {
    if (afterVersion < this.#compactedVersion) return undefined;
    let first = this.#changes.length;
    while (first > 0 && (this.#changes[first - 1]?.version ?? 0) > afterVersion) first -= 1;
    return this.#changes.slice(first).filter((change) => change.table === table);
  }

  /** Calls `wake` after the next committed transaction or compaction. */
  onNextChange(wake: () => void): void {
    this.#changeListeners.push(wake);
  }

  /** Discards the change history and wakes all waiting watchers. */
  compact(): void {
    this.#compactedVersion = this.#version;
    this.#changes = [];
    const waiting = this.#changeListeners;
    this.#changeListeners = [];
    for (const wake of waiting) wake();
  }

  #versionOf(key: ModelKey): number {
    return this.#rows.get(rowId(key))?.version ?? 0;
  }

  #set(row: ModelRow): void {
    const range = this.#rowsByPart.get(partId(row)) ?? new Map<string, ModelRow>();
    this.#rowsByPart.set(partId(row), range);
    if (row.value === undefined) {
      this.#rows.delete(rowId(row));
      range.delete(row.key);
    } else {
      this.#rows.set(rowId(row), row);
      range.set(row.key, row);
    }
    this.#changes.push(row);
  }
}

function rowId({ table, part, key }: ModelKey): string {
  return JSON.stringify([table, part, key]);
}

function partId({ table, part }: Pick<ModelKey, "table" | "part">): string {
  return JSON.stringify([table, part]);
}

function keyOf({ table, part, key }: ModelKey): ModelKey {
  return { table, part, key };
}
