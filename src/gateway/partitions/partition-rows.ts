/**
 * Store layout of partitions: each has its own part of the store, with an owner row and account rows. Rows may be
 * corrupt, so each is validated when it is decoded.
 */

import { encode } from "cbor-x";
import type { RateHandOver } from "../../coordination/request-rate/index.ts";
import type { StoredAccount } from "../../coordination/token-account/index.ts";
import type { RowKey } from "../../ports/store/row-store.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import { decodeRecord } from "../store/decode-record.ts";

const OWNER_KEY = "owner";
/** Instance in the owner row of a partition that its last owner released. */
export const NO_OWNER = "";

/** Store tables for partitions. */
export const TABLES = { owners: "owners", accounts: "accounts" } as const;

/**
 * Names the owner of a partition. Every write of the owner changes this row, so each write is fenced by the previous
 * one.
 */
export interface OwnerRow {
  /** {@link NO_OWNER} if the last owner released the partition. */
  readonly instance: string;
  /** Counts the owner's writes. */
  readonly commit: number;
  /** Remaining rate limits of tenants, handed over by an owner that released the partition. */
  readonly rates?: RateHandOver;
}

/** Returns the part of the store that holds a partition. */
export function storePartOf(partition: number): string {
  return `p${partition}`;
}

/** Returns the key of a partition's owner row. */
export function ownerKey(partition: number): RowKey {
  return { table: TABLES.owners, part: storePartOf(partition), key: OWNER_KEY };
}

/** Returns the key of a program's account row. */
export function accountKey(partition: number, program: ProgramId): RowKey {
  return { table: TABLES.accounts, part: storePartOf(partition), key: program };
}

export function encodeOwner(row: OwnerRow): Buffer {
  return encode(row);
}

/** Returns undefined if the row can't be decoded. Any gateway may own the partition then. */
export function decodeOwner(value: Buffer): OwnerRow | undefined {
  const { instance, commit, rates } = decodeRecord(value) ?? {};
  if (typeof instance !== "string" || !isNonNegativeNumber(commit)) return undefined;
  if (rates === undefined) return { instance, commit };
  return isRateHandOver(rates) ? { instance, commit, rates } : undefined;
}

export function encodeAccount(account: StoredAccount): Buffer {
  return encode(account);
}

/** Returns undefined if the row can't be decoded. The whole budget may be used up then. */
export function decodeAccount(value: Buffer): StoredAccount | undefined {
  const { settled, ahead, open } = decodeRecord(value) ?? {};
  // `ahead` is negative if a turn generated more tokens than its declared maximum.
  if (!isNonNegativeNumber(settled) || !isFiniteNumber(ahead) || !isNameNumberPairs(open)) return undefined;
  return open.every(([, most]) => isNonNegativeNumber(most)) ? { settled, ahead, open } : undefined;
}

function isRateHandOver(value: unknown): value is RateHandOver {
  if (typeof value !== "object" || value === null) return false;
  const { tokens, filledForMs } = value as Partial<RateHandOver>;
  return isNameNumberPairs(tokens) && (filledForMs === undefined || isFiniteNumber(filledForMs));
}

/** Whether a value is a list of pairs of a name and a finite number. */
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
