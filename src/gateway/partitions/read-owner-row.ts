import type { ReadOutcome, RowStore, StoredRow } from "../../ports/store/row-store.ts";
import { ownerKey } from "./partition-rows.ts";

/** Result of reading a partition's owner row. */
interface OwnerRowRead {
  /** Outcome of the store call. */
  readonly outcome: ReadOutcome;
  /** Undefined if the row does not exist yet or the read failed. */
  readonly row: StoredRow | undefined;
}

/** Reads a partition's owner row from the store. */
export async function readOwnerRow(store: RowStore, partition: number): Promise<OwnerRowRead> {
  const { table, part, key } = ownerKey(partition);
  const outcome = await store.read({ table, part });
  const rows = outcome.type === "rows" ? outcome.rows : [];
  return { outcome, row: rows.find((candidate) => candidate.key === key) };
}
