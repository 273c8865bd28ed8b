/**
 * Writes a partition's accounts to the store, many at a time, one transaction after the other. Each transaction is
 * fenced by the one before: it changes the owner's row and demands the version that the last one left. A transaction
 * without an answer is sent again as it was; if it had been done, the owner's row says so.
 */

import type { AccountSnapshot } from "../../coordination/token-account/index.ts";
import type { RowKey, StoredRow } from "../../ports/store/row-store.ts";
import { delay } from "../../runtime/clock.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { StoreHealth } from "../store-health.ts";
import { accountKey, decodeOwner, encodeAccount, encodeOwner, ownerKey } from "./partition-rows.ts";
import { TransactionSender } from "./transaction-sender.ts";

/** Rows in one transaction; the store takes 100 entries, the owner's row and its condition included. */
const MAX_ROWS = 90;
const RETRY_MS = 40;

/** What the writer needs of a program's account. */
export interface WritableAccount {
  snapshot(releaseAhead: boolean): AccountSnapshot;
  stored(snapshot: AccountSnapshot): void;
}

interface Batch {
  readonly accounts: Map<ProgramId, WritableAccount>;
  readonly done: Promise<boolean>;
  readonly settle: (committed: boolean) => void;
}

interface BatchWrite {
  readonly puts: (RowKey & { readonly value: Buffer })[];
  readonly snapshots: (readonly [WritableAccount, AccountSnapshot])[];
}

/** See the module's comment. */
export class PartitionWriter {
  readonly #context: GatewayContext;
  readonly #partition: number;
  readonly #onLost: () => void;
  readonly #sender: TransactionSender;
  readonly #batches: Batch[] = [];
  #version: number;
  #commit = 0;
  #running = false;
  #lost = false;

  /**
   * @param version version of the owner's row, as this owner wrote it
   * @param onLost called once when another owner has taken over
   */
  constructor(
    context: GatewayContext,
    partition: number,
    version: number,
    onLost: () => void,
    health: StoreHealth,
  ) {
    this.#context = context;
    this.#partition = partition;
    this.#version = version;
    this.#onLost = onLost;
    this.#sender = new TransactionSender(context, health);
  }

  /** Resolves with true once the account, as it is when the transaction leaves, is in the store. */
  writeAccount(program: ProgramId, account: WritableAccount): Promise<boolean> {
    const batch = this.#openBatch();
    batch.accounts.set(program, account);
    return this.#schedule(batch);
  }

  /** Writes what is left, with nothing set aside any more, and lets go of the partition. */
  async release(accounts: ReadonlyMap<ProgramId, WritableAccount>): Promise<void> {
    let pending: Promise<boolean> = Promise.resolve(true);
    for (const [program, account] of accounts) pending = this.writeAccount(program, account);
    await pending;
    while (this.#running) await delay(this.#context.clock, 1);
    if (this.#lost) return;
    await this.#transact({ puts: [], snapshots: [] }, "");
    this.#lose();
  }

  /** Another owner has taken over: nothing more is written. */
  stop(): void {
    this.#lose();
  }

  #openBatch(): Batch {
    const last = this.#batches.at(-1);
    if (last && last.accounts.size < MAX_ROWS) return last;
    let settle: (committed: boolean) => void = () => undefined;
    const done = new Promise<boolean>((resolve) => {
      settle = resolve;
    });
    const batch: Batch = { accounts: new Map(), done, settle };
    this.#batches.push(batch);
    return batch;
  }

  #schedule(batch: Batch): Promise<boolean> {
    if (this.#lost) batch.settle(false);
    else if (!this.#running) void this.#run();
    return batch.done;
  }

  async #run(): Promise<void> {
    this.#running = true;
    // What the same turn of the event loop still brings goes along.
    await Promise.resolve();
    for (let batch = this.#batches.shift(); batch && !this.#lost; batch = this.#batches.shift()) {
      const write = this.#writeOf(batch);
      const committed = await this.#transact(write, this.#context.instance);
      if (committed) for (const [account, snapshot] of write.snapshots) account.stored(snapshot);
      batch.settle(committed);
    }
    this.#running = false;
  }

  #writeOf(batch: Batch): BatchWrite {
    const write: BatchWrite = { puts: [], snapshots: [] };
    for (const [program, account] of batch.accounts) {
      const snapshot = account.snapshot(false);
      write.puts.push({ ...accountKey(this.#partition, program), value: encodeAccount(snapshot.account) });
      write.snapshots.push([account, snapshot]);
    }
    return write;
  }

  /** Sends a transaction until it is done or the partition is lost. */
  async #transact(write: BatchWrite, instance: string): Promise<boolean> {
    this.#commit += 1;
    const key = ownerKey(this.#partition);
    const owner = { instance, commit: this.#commit };
    const puts = [...write.puts, { ...key, value: encodeOwner(owner) }];
    while (!this.#lost) {
      const conditions = [{ ...key, version: this.#version }];
      const outcome = await this.#sender.transact({ conditions, puts, removes: [] });
      if (outcome.type === "committed") {
        this.#version = outcome.version;
        return !this.#lost;
      }
      if (outcome.type === "conflict") return this.#afterConflict(outcome.rows, instance);
      await delay(this.#context.clock, RETRY_MS);
    }
    return false;
  }

  /** The owner's row has changed: by an unanswered try of the same transaction, or by another owner. */
  #afterConflict(rows: readonly StoredRow[], instance: string): boolean {
    const row = rows.find((candidate) => candidate.table === ownerKey(this.#partition).table);
    const owner = row && decodeOwner(row.value);
    if (row && owner?.instance === instance && owner.commit === this.#commit) {
      this.#version = row.version;
      return !this.#lost;
    }
    this.#lose();
    return false;
  }

  #lose(): void {
    if (this.#lost) return;
    this.#lost = true;
    for (const batch of this.#batches.splice(0)) batch.settle(false);
    this.#onLost();
  }
}
