/** How partitions lie in the store: a part each, with the owner and the accounts. */

import { decode, encode } from "cbor-x";
import type { RateHandOver } from "../../coordination/request-rate/index.ts";
import type { StoredAccount } from "../../coordination/token-account/index.ts";
import type { RowKey } from "../../ports/store/row-store.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";

const OWNER_KEY = "owner";
/** What the owner's row names when the last owner has let go. */
export const NOBODY = "";

/** Tables of the store. */
export const TABLES = { owners: "owners", accounts: "accounts" } as const;

/** Who owns a partition. Every write of the owner changes this row, so each write is fenced by the one before. */
export interface OwnerRow {
  /** {@link NOBODY} when the last owner has let go. */
  readonly instance: string;
  /** Counts the owner's writes. */
  readonly commit: number;
  /** Limits of tenants, from an owner that has let go. */
  readonly rates?: RateHandOver;
}

/** The part of the store that holds a partition. */
export function partOf(partition: number): string {
  return `p${partition}`;
}

/** The row of a partition's owner. */
export function ownerKey(partition: number): RowKey {
  return { table: TABLES.owners, part: partOf(partition), key: OWNER_KEY };
}

/** The row of a program's account. */
export function accountKey(partition: number, program: ProgramId): RowKey {
  return { table: TABLES.accounts, part: partOf(partition), key: program };
}

export function encodeOwner(row: OwnerRow): Buffer {
  return encode(row);
}

export function decodeOwner(value: Buffer): OwnerRow {
  return decode(value) as OwnerRow;
}

export function encodeAccount(account: StoredAccount): Buffer {
  return encode(account);
}

export function decodeAccount(value: Buffer): StoredAccount {
  return decode(value) as StoredAccount;
}
