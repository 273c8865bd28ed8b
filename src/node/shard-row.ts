import type { Member } from "../coordination/shard-group/index.ts";
import type { Row } from "../ports/table/table-store.ts";

/** What the platform's table says of a shard. */
export interface ShardRow {
  readonly shard: number;
  readonly voters: readonly Member[];
  /** Grows each time the shard is recovered from the object store; 0 at first. */
  readonly generation: number;
  /** The index that the generation began at. */
  readonly lastIndex: number;
}

/** Every row of a shard begins with this. */
export const SHARD_ROW_PREFIX = "shards/";
const SHARD_DIGITS = 5;

/** The row of a shard. */
export function shardRowKey(shard: number): string {
  return SHARD_ROW_PREFIX + String(shard).padStart(SHARD_DIGITS, "0");
}

/** Reads a row; undefined when there is none. */
export function parseShardRow(row: Row): ShardRow | undefined {
  return row.version === 0 ? undefined : (JSON.parse(row.value) as ShardRow);
}
