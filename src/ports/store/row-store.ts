/** Names one row of the platform's transactional store. */
export interface RowKey {
  readonly table: string;
  /** Rows of one part change together in a transaction; may be empty. */
  readonly part: string;
  readonly key: string;
}

/** A row as it stands. */
export interface StoredRow extends RowKey {
  readonly value: Buffer;
  /** From one counter that rises with every transaction of the store. */
  readonly version: number;
}

/** A change of a table; a row without a value is gone. */
export interface RowChange extends RowKey {
  readonly value: Buffer | undefined;
  readonly version: number;
}

/** A row that must be as the writer knows it; version 0 means that it must not exist. */
export interface RowCondition extends RowKey {
  readonly version: number;
}

/** All of it happens, or nothing. All rows must be in one part. */
export interface RowTransaction {
  readonly conditions: readonly RowCondition[];
  readonly puts: readonly (RowKey & { readonly value: Buffer })[];
  readonly removes: readonly RowKey[];
}

/** The store did nothing: it is busy, throttles, or could not be connected to. */
export interface StoreRefusal {
  readonly type: "refused";
  readonly detail: string;
}

/** No answer: a write may have been done, or may still be done as long as its conditions hold. */
export interface UnknownStoreOutcome {
  readonly type: "unknown";
  readonly detail: string;
}

/** How a transaction ended. */
export type TransactionOutcome =
  | { readonly type: "committed"; readonly version: number }
  /** A condition did not hold; `rows` are the rows of the conditions that exist. */
  | { readonly type: "conflict"; readonly version: number; readonly rows: readonly StoredRow[] }
  | StoreRefusal
  | UnknownStoreOutcome;

/** Rows of one table and part, with keys from `from` on, up to but without `until`. */
export interface RowRange {
  readonly table: string;
  readonly part: string;
  readonly from?: string;
  readonly until?: string;
  readonly limit?: number;
}

/** How a read ended. `version` is the store's newest at that moment. */
export type ReadOutcome =
  | {
      readonly type: "rows";
      readonly rows: readonly StoredRow[];
      readonly more: boolean;
      readonly version: number;
    }
  | StoreRefusal
  | UnknownStoreOutcome;

/** How a wait for changes ended. */
export type WatchOutcome =
  | { readonly type: "changes"; readonly changes: readonly RowChange[]; readonly version: number }
  /** The store no longer knows what changed since; the table has to be read anew. */
  | { readonly type: "historyGone" }
  | StoreRefusal
  | UnknownStoreOutcome;

/** The platform's transactional store of rows. No method throws. */
export interface RowStore {
  transact(transaction: RowTransaction): Promise<TransactionOutcome>;
  read(range: RowRange): Promise<ReadOutcome>;
  /** Changes of a table after a version; waits up to `waitMs` for the first. */
  watch(table: string, afterVersion: number, waitMs: number): Promise<WatchOutcome>;
}
