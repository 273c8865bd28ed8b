import type { Row, Transaction, TransactionResult } from "../../src/ports/table/table-store.ts";

/** An in-memory version of the platform's transactional table. */
export class TableModel {
  readonly #rows = new Map<string, { version: number; value: string | undefined }>();

  /** A row. It has version 0 and an empty value if it was never written or was removed. */
  get(key: string): Row {
    const row = this.#rows.get(key);
    if (row?.value === undefined) return { key, version: 0, value: "" };
    return { key, version: row.version, value: row.value };
  }

  /** Up to `limit` rows whose keys start with `prefix` and follow `after`, sorted by key. */
  list(prefix: string, after: string, limit: number): Row[] {
    const keys = [...this.#rows.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const rows: Row[] = [];
    for (const key of keys) {
      if (rows.length === limit) break;
      const row = this.get(key);
      if (row.version > 0) rows.push(row);
    }
    return rows;
  }

  /** Applies all writes if all conditions hold, otherwise none. */
  transact({ conditions, writes }: Transaction): TransactionResult {
    const failed = conditions.filter(({ key, version }) => this.get(key).version !== version);
    if (failed.length > 0) return { type: "conflict", rows: failed.map(({ key }) => this.get(key)) };
    for (const { key, value } of writes) {
      const version = (this.#rows.get(key)?.version ?? 0) + 1;
      this.#rows.set(key, { version, value: value ?? undefined });
    }
    return { type: "committed" };
  }
}
