/**
 * Records a partition's accounts in the store, many at a time, one transaction after the other. Each transaction is fenced
 * by the one before: it changes the owner's row and demands the version that the last one left. A transaction without an
 * answer is sent again as it was; if it had been done, the owner's row says so.
 */

import type { RateHandOver } from "../../coordination/request-rate/index.ts";
import type { AccountSnapshot } from "../../coordination/token-account/index.ts";
import type { StoredRow } from "../../ports/store/row-store.ts";
import { delay } from "../../runtime/clock.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { StoreHealth } from "../store-health.ts";
import {
  accountKey,
  decodeOwner,
  encodeAccount,
  encodeOwner,
  NO_OWNER,
  type OwnerRow,
  ownerKey,
} from "./partition-rows.ts";
import { TransactionSender } from "./transaction-sender.ts";

/** Rows in one transaction; the store takes 100 entries, the owner's row and its condition included. */
const MAX_ROWS = 90;
const RETRY_DELAY_MS = 40;
/** Pause between looks whether everything is written, before a partition is released, in ms. */
const RELEASE_POLL_MS = 5;

/** What the writer needs of a program's account. */
export interface WritableAccount {
  readonly revision: number;
  holds(revision: number): boolean;
  snapshot(releaseAhead: boolean): AccountSnapshot;
  /** The store has the snapshot. */
  stored(snapshot: AccountSnapshot): void;
}

/** How a write ended. */
export type WriteOutcome =
  /** A new owner of the partition finds it. */
  | "recorded"
  /** Another owner has taken over. */
  | "lost";

/** Somebody waits until an account is recorded as it was at some revision. */
interface Waiter {
  readonly account: WritableAccount;
  readonly revision: number;
  readonly settle: (outcome: WriteOutcome) => void;
}

/** A snapshot of an account, as it is on its way to the store. */
interface AccountWrite {
  readonly program: ProgramId;
  readonly account: WritableAccount;
  readonly snapshot: AccountSnapshot;
}

/** What a partition's writer is made of. */
export interface PartitionWriterOptions {
  readonly context: GatewayContext;
  readonly health: StoreHealth;
  readonly partition: number;
  /** Version of the owner's row, as this owner wrote it. */
  readonly epoch: number;
  /** Called once when another owner has taken over. */
  readonly onLost: () => void;
}

/** See the module's comment. */
export class PartitionWriter {
  readonly #options: PartitionWriterOptions;
  readonly #sender: TransactionSender;
  /** Accounts that differ from what the store has. */
  readonly #dirty = new Map<ProgramId, WritableAccount>();
  readonly #waiters = new Set<Waiter>();
  #version: number;
  #commit = 0;
  #isWriting = false;
  #isLost = false;

  constructor(options: PartitionWriterOptions) {
    this.#options = options;
    this.#version = options.epoch;
    this.#sender = new TransactionSender(options.context, options.health);
  }

  /** Resolves once the store has the account, as it is when the transaction leaves or later. */
  writeAccount(program: ProgramId, account: WritableAccount): Promise<WriteOutcome> {
    if (this.#isLost) return Promise.resolve("lost");
    this.#dirty.set(program, account);
    const { revision } = account;
    return new Promise((settle) => {
      this.#waiters.add({ account, revision, settle });
      this.#startWriting();
    });
  }

  /**
   * Writes what is left, with nothing set aside any more, and releases the partition.
   *
   * @param handOverRates gives what is left of tenants' limits, once nothing else is to be written
   */
  async release(
    accounts: ReadonlyMap<ProgramId, WritableAccount>,
    handOverRates: () => RateHandOver | undefined,
  ): Promise<void> {
    for (const [program, account] of accounts) this.#dirty.set(program, account);
    this.#startWriting();
    while (this.#isWriting) await delay(this.#options.context.clock, RELEASE_POLL_MS);
    if (this.#isLost) return;
    const rates = handOverRates();
    await this.#transact([], { instance: NO_OWNER, ...(rates ? { rates } : {}) });
    this.#markLost();
  }

  /** Another owner has taken over: nothing more is written. */
  stop(): void {
    this.#markLost();
  }

  #startWriting(): void {
    if (!this.#isWriting && !this.#isLost) void this.#writeDirty();
  }

  async #writeDirty(): Promise<void> {
    this.#isWriting = true;
    // What the same turn of the event loop still brings goes along.
    await Promise.resolve();
    while (this.#dirty.size > 0 && !this.#isLost) {
      const writes = this.#takeDirty();
      if (!(await this.#transact(writes, { instance: this.#options.context.instance }))) break;
      for (const { account, snapshot } of writes) account.stored(snapshot);
      this.#settleRecorded();
    }
    this.#isWriting = false;
  }

  #takeDirty(): AccountWrite[] {
    const writes: AccountWrite[] = [];
    for (const [program, account] of this.#dirty) {
      if (writes.length === MAX_ROWS) break;
      this.#dirty.delete(program);
      writes.push({ program, account, snapshot: account.snapshot(false) });
    }
    return writes;
  }

  /** Answers those whose accounts are recorded as they were when they asked. */
  #settleRecorded(): void {
    this.#settle(({ account, revision }) => account.holds(revision), "recorded");
  }

  #settle(matches: (waiter: Waiter) => boolean, outcome: WriteOutcome): void {
    for (const waiter of this.#waiters) {
      if (!matches(waiter)) continue;
      this.#waiters.delete(waiter);
      waiter.settle(outcome);
    }
  }

  async #transact(writes: readonly AccountWrite[], row: Omit<OwnerRow, "commit">): Promise<boolean> {
    const { context, partition } = this.#options;
    this.#commit += 1;
    const key = ownerKey(partition);
    const owner = { ...row, commit: this.#commit };
    const accounts = writes.map(({ program, snapshot }) => ({
      ...accountKey(partition, program),
      value: encodeAccount(snapshot.account),
    }));
    const puts = [...accounts, { ...key, value: encodeOwner(owner) }];
    while (!this.#isLost) {
      const conditions = [{ ...key, version: this.#version }];
      const outcome = await this.#sender.transact({ conditions, puts, removes: [] });
      if (outcome.type === "committed") {
        this.#version = outcome.version;
        return !this.#isLost;
      }
      if (outcome.type === "conflict") return this.#resolveConflict(outcome.rows, row.instance);
      await delay(context.clock, RETRY_DELAY_MS);
    }
    return false;
  }

  /** The owner's row has changed: by an unanswered try of the same transaction, or by another owner. */
  #resolveConflict(rows: readonly StoredRow[], instance: string): boolean {
    const row = rows.find((candidate) => candidate.table === ownerKey(this.#options.partition).table);
    const owner = row && decodeOwner(row.value);
    if (row && owner?.instance === instance && owner.commit === this.#commit) {
      this.#version = row.version;
      return !this.#isLost;
    }
    this.#markLost();
    return false;
  }

  #markLost(): void {
    if (this.#isLost) return;
    this.#isLost = true;
    this.#settle(() => true, "lost");
    this.#options.onLost();
  }
}
