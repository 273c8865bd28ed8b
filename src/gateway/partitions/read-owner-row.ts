import type { ReadOutcome, RowStore, StoredRow } from "../../ports/store/row-store.ts";
import { ownerKey } from "./partition-rows.ts";

/** What the store said of a partition's owner. */
interface OwnerRowRead {
  /** How the call ended. */
  readonly outcome: ReadOutcome;
  /** Undefined where there is no owner yet, or the store did not say. */
  readonly row: StoredRow | undefined;
}

/** Reads the row of a partition's owner. */
export async function readOwnerRow(store: RowStore, partition: number): Promise<OwnerRowRead> {
  const { table, part, key } = ownerKey(partition);
  const outcome = await store.read({ table, part });
  const rows = outcome.type === "rows" ? outcome.rows : [];
  return { outcome, row: rows.find((candidate) => candidate.key === key) };
}
