/**
 * Writes a partition's accounts to the store in batches, one transaction at a time. Each transaction is fenced by the
 * previous one: it changes the owner row, on condition that the row still has the version of the previous transaction.
 * A transaction without a response is sent again unchanged. If it had been committed, the owner row shows it.
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

/** Account rows in one transaction. The store accepts 100 entries, including the owner row and its condition. */
const MAX_ROWS = 90;
const RETRY_DELAY_MS = 40;
/** Interval at which a release checks whether all pending writes are done, in ms. */
const RELEASE_POLL_MS = 5;

/** The operations of a program's account that the writer needs. */
export interface WritableAccount {
  readonly revision: number;
  isRevisionStored(revision: number): boolean;
  snapshot(releaseAhead: boolean): AccountSnapshot;
  /** Records that the store has the snapshot. */
  markStored(snapshot: AccountSnapshot): void;
}

/** Result of a write. */
export type WriteOutcome =
  /** The write is in the store, where a new owner of the partition finds it. */
  | "recorded"
  /** This gateway no longer owns the partition. */
  | "lost";

/** A pending {@link PartitionWriter.writeAccount} call, waiting for a revision of an account to be stored. */
interface Waiter {
  readonly account: WritableAccount;
  readonly revision: number;
  readonly settle: (outcome: WriteOutcome) => void;
}

/** An account snapshot that is part of the current transaction. */
interface AccountWrite {
  readonly program: ProgramId;
  readonly account: WritableAccount;
  readonly snapshot: AccountSnapshot;
}

/** Dependencies and identity of a {@link PartitionWriter}. */
export interface PartitionWriterOptions {
  readonly context: GatewayContext;
  readonly health: StoreHealth;
  readonly partition: number;
  /** Version of the owner row that this owner wrote when it took over. */
  readonly epoch: number;
  /** Called once when this gateway loses or releases the partition. */
  readonly onLost: () => void;
}

/** Writes changed accounts until the partition is released or another owner takes over. */
export class PartitionWriter {
  readonly #options: PartitionWriterOptions;
  readonly #sender: TransactionSender;
  /** Accounts with changes that are not in the store. */
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

  /** Whether this gateway no longer owns the partition. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** Resolves once the store has the account's current revision or a later one. */
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
   * Writes the remaining changes and the given accounts, and releases the partition.
   *
   * @param accounts accounts to be written with nothing reserved for future turns
   * @param handOverRates returns the remaining rate limits of tenants; called after all other writes
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

  /** Stops all writes, because another owner has taken over. */
  stop(): void {
    this.#markLost();
  }

  #startWriting(): void {
    if (!this.#isWriting && !this.#isLost) void this.#writeDirty();
  }

  async #writeDirty(): Promise<void> {
    this.#isWriting = true;
    // Include accounts that are added in the same event loop turn.
    await Promise.resolve();
    while (this.#dirty.size > 0 && !this.#isLost) {
      const writes = this.#takeDirty();
      if (!(await this.#transact(writes, { instance: this.#options.context.instance }))) break;
      for (const { account, snapshot } of writes) account.markStored(snapshot);
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

  /** Resolves the waiters whose awaited revisions are in the store. */
  #settleRecorded(): void {
    this.#settle(({ account, revision }) => account.isRevisionStored(revision), "recorded");
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

  /**
   * Handles a changed owner row. Either an earlier attempt of the same transaction was committed without a response, or
   * another owner has taken over.
   */
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
