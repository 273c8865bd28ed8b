/** One row of the platform's table. */
export interface Row {
  readonly key: string;
  /** Increases with every write to the key; 0 for a row that does not exist. */
  readonly version: number;
  readonly value: string;
}

/** A transaction: either all writes are applied, or none. */
export interface Transaction {
  /** Every row must still have this version. */
  readonly conditions: readonly { readonly key: string; readonly version: number }[];
  /** New values; undefined removes the row. */
  readonly writes: readonly { readonly key: string; readonly value: string | undefined }[];
}

/** The result of a transaction. */
export type TransactionResult =
  | { readonly type: "committed" }
  | { readonly type: "conflict"; readonly rows: readonly Row[] };

/**
 * The platform's transactional table. Every method throws a `PlatformError` when the platform does not respond. A
 * transaction may have been committed nevertheless.
 */
export interface TableStore {
  /** Returns a row, with version 0 and an empty value if it does not exist. */
  get(key: string): Promise<Row>;
  /** Returns up to `limit` rows whose keys start with `prefix` and follow `after`, ordered by key. */
  list(prefix: string, after: string, limit: number): Promise<readonly Row[]>;
  /** Commits a transaction if its conditions hold. */
  transact(transaction: Transaction): Promise<TransactionResult>;
}
