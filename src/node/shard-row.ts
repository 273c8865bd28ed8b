import type { Member } from "../coordination/shard-group/index.ts";
import type { Row } from "../ports/table/table-store.ts";

/** A shard's row in the platform's table. */
export interface ShardRow {
  readonly shard: number;
  readonly voters: readonly Member[];
  /** Starts at 0 and increases each time the shard is recovered from the object store. */
  readonly generation: number;
  /** The journal index at which the generation began. */
  readonly lastIndex: number;
}

/** The key prefix of all shard rows. */
export const SHARD_ROW_PREFIX = "shards/";
const SHARD_DIGITS = 5;

/** Returns the key of a shard's row. */
export function shardRowKey(shard: number): string {
  return SHARD_ROW_PREFIX + String(shard).padStart(SHARD_DIGITS, "0");
}

/** Parses a shard's row. Returns undefined if the row doesn't exist. */
export function parseShardRow(row: Row): ShardRow | undefined {
  return row.version === 0 ? undefined : (JSON.parse(row.value) as ShardRow);
}
