/**
 * How retained turns lie in the store. The parts that a turn may lie in follow from its identifier alone, so that whoever
 * knows the identifier finds it, and turns of one partition do not queue behind each other or behind its accounts. A
 * turn lies in the first of them, unless that did not answer. A turn is one row, or several when it is large.
 */

import { encode } from "cbor-x";
import type { RowKey, RowRange, StoredRow } from "../../ports/store/row-store.ts";
import type { TextHash } from "../../runtime/text-hash.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { RetainedTurnContent } from "../gateway-messages.ts";
import { decodeRecord, type RecordFields } from "../store/decode-record.ts";

const TABLE = "turns";
/**
 * Parts that a turn may lie in. Computed: with 21 of 64 parts silent, all four of a turn are silent for one turn of 106
 * (C(64, 4) / C(21, 4)); all of three would be for one of 31, all of five for one of 375.
 */
const PARTS_PER_TURN = 4;
/** Most bytes of a row's value; the store takes 65,536 in base 64. */
const MAX_ROW_BYTES = 48_000;
/** Stands between a turn's identifier and the number of a further row. */
const SEPARATOR = "/";
/** The character after the separator. */
const AFTER_SEPARATOR = "0";

/** A row of a turn, to be written. */
export interface TurnRow extends RowKey {
  readonly value: Buffer;
}

/**
 * The parts of the store that may hold a turn, all different, in the order in which they are tried; as many as there are
 * when there are fewer than usual.
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

/** The rows of a turn; all of them go into one transaction. */
export function turnRows(turn: RequestId, content: RetainedTurnContent, part: string): TurnRow[] {
  const bytes = encode(content);
  const rows: TurnRow[] = [];
  for (let start = 0; start < bytes.length; start += MAX_ROW_BYTES) {
    const key = rows.length === 0 ? turn : `${turn}${SEPARATOR}${rows.length}`;
    rows.push({ table: TABLE, part, key, value: bytes.subarray(start, start + MAX_ROW_BYTES) });
  }
  return rows;
}

/** Where the rows of a turn lie; some rows of others may lie there too. */
export function turnRange(turn: RequestId, part: string): RowRange {
  return { table: TABLE, part, from: turn, until: `${turn}${AFTER_SEPARATOR}` };
}

/** What rows of a turn's range hold. */
export type DecodedTurn = RetainedTurnContent | "absent" | "unreadable";

/** The turn that rows of its range hold. */
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
