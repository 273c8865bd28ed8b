/** What a replica knows of the accounts of one partition, from its owner. */
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import { type AccountRow, newerAccount } from "../partitions/partition-rows.ts";
import type { Replica } from "./replica.ts";
import type { MirrorAccountsRequest } from "./replica-messages.ts";

/** How long the account of a program that takes no turns is kept, in ms: as long as programs are kept by default. */
const KEEP_MS = 60_000;

interface MirroredAccount {
  readonly row: AccountRow;
  readonly atMs: number;
}

/** See the module's comment. */
export class AccountMirror {
  readonly partition: number;
  #owner: string;
  #rowOwner: string;
  #groups: readonly (readonly Replica[])[] = [];
  readonly #accounts = new Map<ProgramId, MirroredAccount>();

  constructor(partition: number, owner: string) {
    this.partition = partition;
    this.#owner = owner;
    this.#rowOwner = owner;
  }

  /** The process that owns the partition, as far as is known here. */
  get owner(): string {
    return this.#owner;
  }

  /** The process that the owner's row in the store names. */
  get rowOwner(): string {
    return this.#rowOwner;
  }

  /** The partition's groups of replicas: whoever takes over needs a majority of each. */
  get groups(): readonly (readonly Replica[])[] {
    return this.#groups;
  }

  /** All accounts. */
  get accounts(): [ProgramId, AccountRow][] {
    return [...this.#accounts].map(([program, { row }]) => [program, row]);
  }

  /** Takes what the owner tells; messages may overtake each other. */
  update({ owner, rowOwner, groups, accounts, whole }: MirrorAccountsRequest, nowMs: number): void {
    this.#owner = owner;
    this.#rowOwner = rowOwner;
    this.#groups = groups;
    for (const [program, row] of accounts) {
      const known = this.#accounts.get(program)?.row;
      const newest = known ? newerAccount(known, row) : row;
      // Set anew, so that accounts stay in the order of their last change.
      this.#accounts.delete(program);
      this.#accounts.set(program, { row: newest, atMs: nowMs });
    }
    if (whole) this.#dropOld(nowMs);
  }

  #dropOld(nowMs: number): void {
    for (const [program, { atMs }] of this.#accounts) {
      if (nowMs - atMs < KEEP_MS) return;
      this.#accounts.delete(program);
    }
  }
}
