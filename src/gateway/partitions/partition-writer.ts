/**
 * Records a partition's accounts, many at a time: in the store, one transaction after the other, and, while the store
 * does not answer, in copies at other gateways as well. Each transaction is fenced by the one before: it changes the
 * owner's row and demands the version that the last one left. A transaction without an answer is sent again as it was; if
 * it had been done, the owner's row says so. Whatever was copied is written to the store as soon as it answers.
 */

import type { AccountSnapshot } from "../../coordination/token-account/index.ts";
import type { RowKey, StoredRow } from "../../ports/store/row-store.ts";
import { delay, type TimerHandle } from "../../runtime/clock.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { copyKey } from "../replicas/copy-key.ts";
import type { PartitionReplicas } from "../replicas/partition-replicas.ts";
import type { RecordCopy } from "../replicas/record-copy.ts";
import type { StoreHealth } from "../store-health.ts";
import {
  type AccountRow,
  accountKey,
  decodeOwner,
  encodeAccount,
  encodeOwner,
  ownerKey,
} from "./partition-rows.ts";
import { TransactionSender } from "./transaction-sender.ts";

/** Rows in one transaction; the store takes 100 entries, the owner's row and its condition included. */
const MAX_ROWS = 90;
const RETRY_MS = 40;
/** No row has this version: the store answers with the row as it is. */
const UNKNOWN_VERSION = 0;
/** Pause between looks whether everything is written, before a partition is released, in ms. */
const RELEASE_POLL_MS = 5;
/** Least time between two appends to replicas when the first was not kept, in ms. */
const COPY_RETRY_MS = 100;

/** What the writer needs of a program's account. */
export interface WritableAccount {
  readonly revision: number;
  holds(revision: number): boolean;
  snapshot(releaseAhead: boolean): AccountSnapshot;
  /** The store has the snapshot. */
  stored(snapshot: AccountSnapshot): void;
  /** Enough replicas have the snapshot. */
  copied(snapshot: AccountSnapshot): void;
}

/** How a write ended. */
export type WriteOutcome =
  /** A new owner of the partition would find it. */
  | "recorded"
  /** Another owner has taken over. */
  | "lost"
  /** Neither the store nor enough replicas take it now; it may be recorded later. */
  | "unavailable";

/** Somebody waits until an account is recorded as it was at some revision. */
interface Waiter {
  readonly program: ProgramId;
  readonly account: WritableAccount;
  readonly revision: number;
  readonly sinceMs: number;
  /** Whether copies will do. */
  readonly copyable: boolean;
  readonly settle: (outcome: WriteOutcome) => void;
}

/** A snapshot of an account, as it is on its way to the store or to replicas. */
interface AccountWrite {
  readonly program: ProgramId;
  readonly account: WritableAccount;
  readonly snapshot: AccountSnapshot;
  readonly row: AccountRow;
}

/** What a partition's writer is made of. */
export interface PartitionWriterParts {
  readonly context: GatewayContext;
  readonly health: StoreHealth;
  readonly partition: number;
  /** Version of the owner's row, as this owner wrote it. */
  readonly epoch: number;
  readonly replicas: PartitionReplicas;
  /**
   * The process that the owner's row names, where this owner took the partition over while the store was away; undefined
   * where the row names this owner.
   */
  readonly rowOwner?: string | undefined;
  /** Called when the owner's row names this owner, after it has named `rowOwner`; accounts are written after it. */
  readonly onRowTaken?: () => Promise<void>;
  /** Called when the partition has other replicas than before. */
  readonly onReplicasChanged?: () => void;
  /** Called once when another owner has taken over. */
  readonly onLost: () => void;
}

/** See the module's comment. */
export class PartitionWriter {
  readonly #parts: PartitionWriterParts;
  readonly #sender: TransactionSender;
  /** Accounts that differ from what the store has. */
  readonly #dirty = new Map<ProgramId, WritableAccount>();
  readonly #waiters = new Set<Waiter>();
  #version: number;
  #rowOwner: string | undefined;
  #commit = 0;
  #sequence = 0;
  #running = false;
  #rowIsDue = false;
  #copying = false;
  #copyTimer: TimerHandle | undefined;
  #lost = false;

  constructor(parts: PartitionWriterParts) {
    this.#parts = parts;
    this.#rowOwner = parts.rowOwner;
    this.#version = parts.rowOwner === undefined ? parts.epoch : UNKNOWN_VERSION;
    this.#sender = new TransactionSender(parts.context, parts.health);
  }

  /**
   * Resolves once the account is recorded, as it is when the transaction leaves or later.
   *
   * @param copyable whether copies at other gateways will do while the store does not answer
   */
  writeAccount(program: ProgramId, account: WritableAccount, copyable = true): Promise<WriteOutcome> {
    if (this.#lost) return Promise.resolve("lost");
    this.#dirty.set(program, account);
    const { revision } = account;
    const sinceMs = this.#nowMs;
    return new Promise((settle) => {
      this.#waiters.add({ program, account, revision, sinceMs, copyable, settle });
      this.#startWriting();
      if (copyable) this.#copyLater(this.#parts.health.copyDelayMs);
    });
  }

  /** Has accounts written that were found in copies only. */
  writeLater(program: ProgramId, account: WritableAccount): void {
    this.#dirty.set(program, account);
    this.#startWriting();
  }

  /** Writes the owner's row, whose replicas have changed. */
  renewRow(): void {
    this.#rowIsDue = true;
    this.#startWriting();
  }

  /** Tells the replicas of accounts that they do not know. */
  mirror(accounts: Iterable<readonly [ProgramId, WritableAccount]>): void {
    const rows = [...accounts].map(
      ([program, account]) => [program, this.#snapshot(program, account).row] as const,
    );
    void this.#parts.replicas.mirror(rows, true);
  }

  /** Writes what is left, with nothing set aside any more, and releases the partition. */
  async release(accounts: ReadonlyMap<ProgramId, WritableAccount>): Promise<void> {
    for (const [program, account] of accounts) this.#dirty.set(program, account);
    this.#startWriting();
    while (this.#running) await delay(this.#parts.context.clock, RELEASE_POLL_MS);
    if (this.#lost) return;
    await this.#transact([], "");
    this.#lose();
  }

  /** Another owner has taken over: nothing more is written. */
  stop(): void {
    this.#lose();
  }

  get #nowMs(): number {
    return this.#parts.context.clock.monotonicMs();
  }

  #startWriting(): void {
    if (!this.#running && !this.#lost) void this.#write();
  }

  async #write(): Promise<void> {
    this.#running = true;
    // What the same turn of the event loop still brings goes along.
    await Promise.resolve();
    while ((this.#dirty.size > 0 || this.#rowIsDue) && !this.#lost) {
      const takesRow = this.#rowOwner !== undefined;
      const writes = takesRow ? [] : this.#takeDirty();
      this.#rowIsDue = false;
      if (!(await this.#transact(writes, this.#parts.context.instance))) break;
      if (takesRow) await this.#parts.onRowTaken?.();
      for (const { account, snapshot } of writes) account.stored(snapshot);
      this.#settleRecorded();
    }
    this.#running = false;
  }

  #takeDirty(): AccountWrite[] {
    const writes: AccountWrite[] = [];
    for (const [program, account] of this.#dirty) {
      if (writes.length === MAX_ROWS) break;
      this.#dirty.delete(program);
      writes.push(this.#snapshot(program, account));
    }
    return writes;
  }

  #snapshot(program: ProgramId, account: WritableAccount): AccountWrite {
    this.#sequence += 1;
    const snapshot = account.snapshot(false);
    const row = { ...snapshot.account, epoch: this.#parts.epoch, sequence: this.#sequence };
    return { program, account, snapshot, row };
  }

  /** Looks after a while whether writes still wait, and copies their accounts. */
  #copyLater(delayMs: number): void {
    if (this.#copyTimer || this.#copying) return;
    this.#copyTimer = this.#parts.context.clock.schedule(delayMs, () => {
      this.#copyTimer = undefined;
      void this.#copy();
    });
  }

  async #copy(): Promise<void> {
    const writes = this.#writesToCopy();
    if (writes.length > 0) {
      this.#copying = true;
      const isKept = await this.#parts.replicas.append(copiesOf(writes));
      this.#copying = false;
      if (this.#lost) return;
      this.#onCopied(writes, isKept);
      if (!isKept) return this.#copyWaiting(COPY_RETRY_MS);
    }
    this.#copyWaiting(0);
  }

  #copyWaiting(leastMs: number): void {
    const copyable = [...this.#waiters].find((waiter) => waiter.copyable);
    if (!copyable) return;
    const dueMs = copyable.sinceMs + this.#parts.health.copyDelayMs - this.#nowMs;
    this.#copyLater(Math.max(leastMs, dueMs));
  }

  /** Accounts for which somebody has waited long enough. */
  #writesToCopy(): AccountWrite[] {
    const latestMs = this.#nowMs - this.#parts.health.copyDelayMs;
    const accounts = new Map<ProgramId, WritableAccount>();
    for (const { program, account, copyable, sinceMs } of this.#waiters)
      if (copyable && sinceMs <= latestMs) accounts.set(program, account);
    return [...accounts].map(([program, account]) => this.#snapshot(program, account));
  }

  #onCopied(writes: readonly AccountWrite[], isKept: boolean): void {
    for (const { program, account, snapshot } of writes) {
      // The store must get this snapshot or a later one before replicas may drop it.
      this.#dirty.set(program, account);
      if (isKept) account.copied(snapshot);
    }
    this.#startWriting();
    this.#settleRecorded();
    if (!isKept && !this.#parts.health.reachable) this.#settle((waiter) => waiter.copyable, "unavailable");
  }

  /** Answers those whose accounts are recorded as they were when they asked. */
  #settleRecorded(): void {
    this.#settle(({ account, revision }) => account.holds(revision), "recorded");
  }

  #settle(isMeant: (waiter: Waiter) => boolean, outcome: WriteOutcome): void {
    for (const waiter of this.#waiters) {
      if (!isMeant(waiter)) continue;
      this.#waiters.delete(waiter);
      waiter.settle(outcome);
    }
  }

  /** Sends a transaction until it is done or the partition is lost. */
  async #transact(writes: readonly AccountWrite[], instance: string): Promise<boolean> {
    const { context, partition, replicas } = this.#parts;
    this.#commit += 1;
    const key = ownerKey(partition);
    const owner = { instance, commit: this.#commit, replicas: replicas.groupsForRow() };
    const accounts = writes.map(({ program, row }) => ({
      ...accountKey(partition, program),
      value: encodeAccount(row),
    }));
    const puts: (RowKey & { readonly value: Buffer })[] = [
      ...accounts,
      { ...key, value: encodeOwner(owner) },
    ];
    if (writes.length > 0) void replicas.mirror(mirrored(writes), false);
    while (!this.#lost) {
      const conditions = [{ ...key, version: this.#version }];
      const outcome = await this.#sender.transact({ conditions, puts, removes: [] });
      if (outcome.type === "committed") return this.#committed(writes, instance, outcome.version);
      if (outcome.type !== "conflict") await delay(context.clock, RETRY_MS);
      else if (this.#isOwnRow(outcome.rows, instance))
        return this.#committed(
          writes,
          instance,
          this.#ownerRowAmong(outcome.rows)?.version ?? UNKNOWN_VERSION,
        );
      else if (!this.#takesRow(outcome.rows)) this.#lose();
    }
    return false;
  }

  async #committed(writes: readonly AccountWrite[], instance: string, version: number): Promise<boolean> {
    this.#version = version;
    this.#rowOwner = undefined;
    const { replicas, onReplicasChanged } = this.#parts;
    for (const { program, row } of writes) replicas.stored(copyKey("account", program), row.sequence);
    if (replicas.confirm()) onReplicasChanged?.();
    return this.#isStillOwner(instance);
  }

  /** Whether no replica has taken over without the store while this process stood still or was cut off. */
  async #isStillOwner(instance: string): Promise<boolean> {
    const { context, replicas } = this.#parts;
    while (!this.#lost && !replicas.isInTouch && !(await replicas.mirror([], false))) {
      if (replicas.isStored && replicas.isDegraded) return this.#transact([], instance);
      await delay(context.clock, RETRY_MS);
    }
    return !this.#lost;
  }

  /** Whether the row still names the owner before this one, which took over without the store: it is ours to change. */
  #takesRow(rows: readonly StoredRow[]): boolean {
    const row = this.#ownerRowAmong(rows);
    if (!row || this.#rowOwner === undefined) return false;
    if (decodeOwner(row.value).instance !== this.#rowOwner) return false;
    this.#version = row.version;
    return true;
  }

  #ownerRowAmong(rows: readonly StoredRow[]): StoredRow | undefined {
    return rows.find((candidate) => candidate.table === ownerKey(this.#parts.partition).table);
  }

  /** Whether the owner's row was changed by an unanswered try of the same transaction. */
  #isOwnRow(rows: readonly StoredRow[], instance: string): boolean {
    const row = this.#ownerRowAmong(rows);
    const owner = row && decodeOwner(row.value);
    return owner?.instance === instance && owner.commit === this.#commit;
  }

  #lose(): void {
    if (this.#lost) return;
    this.#lost = true;
    if (this.#copyTimer) this.#parts.context.clock.cancel(this.#copyTimer);
    this.#settle(() => true, "lost");
    this.#parts.onLost();
  }
}

function mirrored(writes: readonly AccountWrite[]): (readonly [ProgramId, AccountRow])[] {
  return writes.map(({ program, row }) => [program, row]);
}

function copiesOf(writes: readonly AccountWrite[]) {
  const copies = new Map<string, { readonly copy: RecordCopy; readonly sequence: number }>();
  for (const { program, row } of writes)
    copies.set(copyKey("account", program), {
      copy: { type: "account", program, row },
      sequence: row.sequence,
    });
  return copies;
}
