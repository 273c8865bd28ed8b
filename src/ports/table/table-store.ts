/** One row of the platform's table. */
export interface Row {
  readonly key: string;
  /** Grows with every write to the key; 0 stands for a row that does not exist. */
  readonly version: number;
  readonly value: string;
}

/** A transaction: all writes happen, or none. */
export interface Transaction {
  /** Every row must still have this version. */
  readonly conditions: readonly { readonly key: string; readonly version: number }[];
  /** New values; undefined removes the row. */
  readonly writes: readonly { readonly key: string; readonly value: string | undefined }[];
}

/** Whether a transaction was carried out. */
export type TransactionResult =
  | { readonly type: "committed" }
  | { readonly type: "conflict"; readonly rows: readonly Row[] };

/**
 * The platform's transactional table. Every method throws a `PlatformError` when no answer came:
 * a transaction may then have been carried out all the same.
 */
export interface TableStore {
  /** A row; version 0 and an empty value when there is none. */
  get(key: string): Promise<Row>;
  /** Rows whose keys start with `prefix` and come after `after`, in order of key. */
  list(prefix: string, after: string, limit: number): Promise<readonly Row[]>;
  /** Carries out a transaction. */
  transact(transaction: Transaction): Promise<TransactionResult>;
}
