/**
 * Store layout of retained turns. The parts of the store that may hold a turn are derived from its identifier alone, so
 * any gateway that knows the identifier finds it, and turns of one partition don't queue behind each other or behind
 * the partition's accounts. A turn is in the first of its parts, unless that part did not respond. It has one row, or
 * several if it is large.
 */

import { encode } from "cbor-x";
import type { RowKey, RowRange, StoredRow } from "../../ports/store/row-store.ts";
import type { TextHash } from "../../runtime/text-hash.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { RetainedTurnContent } from "../gateway-messages.ts";
import { decodeRecord, type RecordFields } from "../store/decode-record.ts";

const TABLE = "turns";
/**
 * Number of parts that may hold a turn. With 21 of 64 parts unresponsive, all four parts of a turn are unresponsive for
 * one turn in 106 (C(64, 4) / C(21, 4)). With three parts it would be one in 31, with five one in 375.
 */
const PARTS_PER_TURN = 4;
/** Largest size of a row's value, in bytes. The store accepts 65,536 bytes of base64. */
const MAX_ROW_BYTES = 48_000;
/** Separates the turn's identifier from the row number in the keys of the second and later rows. */
const SEPARATOR = "/";
/** The character that follows the separator in sort order. It ends the key range of a turn. */
const AFTER_SEPARATOR = "0";

/** A row of a turn to be written to the store. */
export interface TurnRow extends RowKey {
  readonly value: Buffer;
}

/**
 * Returns the distinct parts of the store that may hold a turn, in the order in which they are tried. If the store has
 * fewer than {@link PARTS_PER_TURN} parts for turns, returns all of them.
 */
export function turnParts(turn: RequestId, partCount: number, hash: TextHash): string[] {
  const numbers = new Set([hash.hash32(turn) % partCount]);
  while (numbers.size < Math.min(PARTS_PER_TURN, partCount)) {
    let number = hash.hash32(`${turn}${SEPARATOR}${numbers.size}`) % partCount;
    while (numbers.has(number)) number = (number + 1) % partCount;
    numbers.add(number);
  }
  return Array.from(numbers, (number) => `t${number}`);
}

/** Encodes a turn as rows, which must be written in one transaction. */
export function turnRows(turn: RequestId, content: RetainedTurnContent, part: string): TurnRow[] {
  const bytes = encode(content);
  const rows: TurnRow[] = [];
  for (let start = 0; start < bytes.length; start += MAX_ROW_BYTES) {
    const key = rows.length === 0 ? turn : `${turn}${SEPARATOR}${rows.length}`;
    rows.push({ table: TABLE, part, key, value: bytes.subarray(start, start + MAX_ROW_BYTES) });
  }
  return rows;
}

/** Returns the key range of a turn's rows. It may also contain rows of other turns. */
export function turnRange(turn: RequestId, part: string): RowRange {
  return { table: TABLE, part, from: turn, until: `${turn}${AFTER_SEPARATOR}` };
}

/** Result of decoding the rows in a turn's key range. */
export type DecodedTurn = RetainedTurnContent | "absent" | "unreadable";

/** Decodes a turn from the rows in its key range; ignores rows of other turns. */
export function decodeTurn(turn: RequestId, rows: readonly StoredRow[]): DecodedTurn {
  const numbered = rows.flatMap((row) => {
    const number = rowNumber(turn, row.key);
    return number === undefined ? [] : [{ number, value: row.value }];
  });
  if (numbered.length === 0) return "absent";
  numbered.sort((left, right) => left.number - right.number);
  const content = decodeRecord(Buffer.concat(numbered.map(({ value }) => value)));
  return content && isTurn(content) ? content : "unreadable";
}

function isTurn(content: RecordFields): content is RecordFields & RetainedTurnContent {
  const { previousTurn, tenant, input, output, tokens } = content;
  const hasValidNames = [previousTurn, tenant].every(
    (name) => name === undefined || typeof name === "string",
  );
  const hasBytes = [input, output].every((bytes) => bytes instanceof Uint8Array);
  return hasValidNames && hasBytes && (tokens === undefined || Number.isFinite(tokens));
}

function rowNumber(turn: RequestId, key: string): number | undefined {
  if (key === turn) return 0;
  const prefix = `${turn}${SEPARATOR}`;
  return key.startsWith(prefix) ? Number(key.slice(prefix.length)) : undefined;
}
