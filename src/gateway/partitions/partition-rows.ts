/** How partitions lie in the store: a part each, with the owner and the accounts. Rows may be spoilt: each is checked. */

import { encode } from "cbor-x";
import type { RateHandOver } from "../../coordination/request-rate/index.ts";
import type { StoredAccount } from "../../coordination/token-account/index.ts";
import type { RowKey } from "../../ports/store/row-store.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import { decodeRecord } from "../store/decode-record.ts";

const OWNER_KEY = "owner";
/** What the owner's row names when the last owner has let go. */
export const NO_OWNER = "";

/** Tables of the store. */
export const TABLES = { owners: "owners", accounts: "accounts" } as const;

/** Who owns a partition. Every write of the owner changes this row, so each write is fenced by the one before. */
export interface OwnerRow {
  /** {@link NO_OWNER} when the last owner has let go. */
  readonly instance: string;
  /** Counts the owner's writes. */
  readonly commit: number;
  /** Limits of tenants, from an owner that has let go. */
  readonly rates?: RateHandOver;
}

/** The part of the store that holds a partition. */
export function storePartOf(partition: number): string {
  return `p${partition}`;
}

/** The row of a partition's owner. */
export function ownerKey(partition: number): RowKey {
  return { table: TABLES.owners, part: storePartOf(partition), key: OWNER_KEY };
}

/** The row of a program's account. */
export function accountKey(partition: number, program: ProgramId): RowKey {
  return { table: TABLES.accounts, part: storePartOf(partition), key: program };
}

export function encodeOwner(row: OwnerRow): Buffer {
  return encode(row);
}

/** Undefined when the row can't be read: then anybody may own the partition. */
export function decodeOwner(value: Buffer): OwnerRow | undefined {
  const { instance, commit, rates } = decodeRecord(value) ?? {};
  if (typeof instance !== "string" || !isNonNegativeNumber(commit)) return undefined;
  if (rates === undefined) return { instance, commit };
  return isRateHandOver(rates) ? { instance, commit, rates } : undefined;
}

export function encodeAccount(account: StoredAccount): Buffer {
  return encode(account);
}

/** Undefined when the row can't be read: then all of the budget may be spent. */
export function decodeAccount(value: Buffer): StoredAccount | undefined {
  const { settled, ahead, open } = decodeRecord(value) ?? {};
  // Less than nothing is set aside once a turn has generated more than it said.
  if (!isNonNegativeNumber(settled) || !isFiniteNumber(ahead) || !isNameNumberPairs(open)) return undefined;
  return open.every(([, most]) => isNonNegativeNumber(most)) ? { settled, ahead, open } : undefined;
}

function isRateHandOver(value: unknown): value is RateHandOver {
  if (typeof value !== "object" || value === null) return false;
  const { tokens, filledForMs } = value as Partial<RateHandOver>;
  return isNameNumberPairs(tokens) && (filledForMs === undefined || isFiniteNumber(filledForMs));
}

/** Whether a value is a list of names, each with a number. */
function isNameNumberPairs(value: unknown): value is [name: string, number: number][] {
  if (!Array.isArray(value)) return false;
  return value.every((pair) => Array.isArray(pair) && typeof pair[0] === "string" && isFiniteNumber(pair[1]));
}

function isNonNegativeNumber(value: unknown): value is number {
  return isFiniteNumber(value) && value >= 0;
}

function isFiniteNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value);
}
