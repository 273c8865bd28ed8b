/**
 * Follows one table of the store: reads the whole table, then waits for changes, and reads the table again when the history
 * of changes is gone. The listener never receives an older state: a read that returns one is repeated.
 */
import type { RowChange, StoredRow, StoreRefusal, UnknownStoreOutcome } from "../../ports/store/row-store.ts";
import { delay } from "../../runtime/clock.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { StoreHealth } from "../store-health.ts";
import { type FailedTableCall, FollowerLog } from "./follower-log.ts";

/** Maximum wait for changes, in ms: answers to waits also show that the store is reachable. */
const MAX_WAIT_MS = 2_000;
/** A wait lasts for this fraction of the maximum staleness: the rest is reserved for an answer that is lost. */
const WAIT_FRACTION = 0.5;
const RETRY_DELAY_MS = 100;

/** Receives the state of a table from its follower. */
export interface TableListener {
  /** Receives the whole table. */
  onTable(rows: readonly StoredRow[]): void;
  onChanges(changes: readonly RowChange[]): void;
  /**
   * The state received so far is the table as it was at or after `askedAtMs`.
   *
   * @param askedAtMs when the store was asked, in ms of the monotonic clock
   */
  onCurrent?(askedAtMs: number): void;
}

/** Options of a TableFollower. */
export interface TableFollowerOptions {
  /** Maximum staleness: the time within which a change must be known, in ms. */
  readonly maxStalenessMs: number;
  /** Minimum pause between two waits, in ms: for tables that change all the time. */
  readonly pauseMs?: number;
}

export class TableFollower {
  readonly #context: GatewayContext;
  readonly #health: StoreHealth;
  readonly #table: string;
  readonly #listener: TableListener;
  readonly #pauseMs: number;
  readonly #waitMs: number;
  readonly #log: FollowerLog;
  #stopped = false;
  /** The store's version up to which the listener has received all changes. */
  #version = 0;
  /** The state given to the listener is the table as it was at or after this time, in ms of the monotonic clock. */
  #currentAtMs: number;
  /** The call that confirms the known state now, and the one that waits for its end. */
  #confirming: Promise<boolean> | undefined;
  #nextConfirming: Promise<boolean> | undefined;

  constructor(
    context: GatewayContext,
    health: StoreHealth,
    table: string,
    listener: TableListener,
    { maxStalenessMs, pauseMs = 0 }: TableFollowerOptions,
  ) {
    this.#context = context;
    this.#health = health;
    this.#table = table;
    this.#listener = listener;
    this.#pauseMs = pauseMs;
    this.#waitMs = Math.min(MAX_WAIT_MS, Math.floor(maxStalenessMs * WAIT_FRACTION));
    this.#log = new FollowerLog(context.log, table);
    this.#currentAtMs = context.clock.monotonicMs();
  }

  /** Upper bound on how outdated the known table is, in ms; counts from the start until the table has been read. */
  get behindMs(): number {
    return this.#context.clock.monotonicMs() - this.#currentAtMs;
  }

  /** The state given to the listener is the table as it was at or after this time, in ms of the monotonic clock. */
  get currentAtMs(): number {
    return this.#currentAtMs;
  }

  start(): void {
    void this.#run();
  }

  /**
   * Brings the known state up to date. Returns whether the listener now has the table as it was at or after the call of this
   * method. Calls at the same time share their request to the store.
   */
  confirm(): Promise<boolean> {
    if (this.#version === 0) return Promise.resolve(false);
    if (!this.#confirming) return this.#startConfirming();
    this.#nextConfirming ??= this.#confirming.then(() => this.#startConfirming());
    return this.#nextConfirming;
  }

  stop(): void {
    this.#stopped = true;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      const read = await this.#readWhole();
      while (read && !this.#stopped) {
        if (!(await this.#watchOnce())) break;
      }
      await delay(this.#context.clock, RETRY_DELAY_MS);
    }
  }

  async #readWhole(): Promise<boolean> {
    const askedAtMs = this.#context.clock.monotonicMs();
    const rows: StoredRow[] = [];
    let version: number | undefined;
    let from: string | undefined;
    for (;;) {
      const range = { table: this.#table, part: "", ...(from === undefined ? {} : { from }) };
      const read = await this.#context.platform.store.read(range);
      this.#health.recordOutcome(read);
      if (read.type !== "rows") {
        this.#noteFailed("read", read, askedAtMs);
        return false;
      }
      if (read.version < this.#version) return false;
      // Pages are read at different times: watching from the first page's version also delivers what changed in between.
      version ??= read.version;
      rows.push(...read.rows);
      const last = read.rows.at(-1);
      if (!read.more || !last) break;
      from = `${last.key}\u0000`;
    }
    this.#version = version;
    this.#listener.onTable(rows);
    this.#noteCurrent(askedAtMs);
    return true;
  }

  /** Waits for changes once; returns false when the table has to be read again. */
  async #watchOnce(): Promise<boolean> {
    const askedAtMs = this.#context.clock.monotonicMs();
    const outcome = await this.#context.platform.store.watch(this.#table, this.#version, this.#waitMs);
    this.#health.recordOutcome(outcome);
    if (outcome.type === "historyGone") return false;
    if (outcome.type !== "changes") {
      this.#noteFailed("watch", outcome, askedAtMs);
      await delay(this.#context.clock, RETRY_DELAY_MS);
      return true;
    }
    this.#apply(outcome.changes, outcome.version, askedAtMs);
    if (this.#pauseMs > 0) await delay(this.#context.clock, this.#pauseMs);
    return true;
  }

  #startConfirming(): Promise<boolean> {
    this.#nextConfirming = undefined;
    const confirming = this.#confirmOnce().finally(() => {
      if (this.#confirming === confirming) this.#confirming = undefined;
    });
    this.#confirming = confirming;
    return confirming;
  }

  async #confirmOnce(): Promise<boolean> {
    const askedAtMs = this.#context.clock.monotonicMs();
    const outcome = await this.#context.platform.store.watch(this.#table, this.#version, 0);
    this.#health.recordOutcome(outcome);
    if (outcome.type !== "changes") return false;
    this.#apply(outcome.changes, outcome.version, askedAtMs);
    return true;
  }

  /** Passes on the changes that the listener does not have: two calls at the same time may bring the same ones. */
  #apply(changes: readonly RowChange[], version: number, askedAtMs: number): void {
    const newChanges = changes.filter((change) => change.version > this.#version);
    if (newChanges.length > 0) this.#listener.onChanges(newChanges);
    this.#version = Math.max(this.#version, version);
    if (askedAtMs >= this.#currentAtMs) this.#noteCurrent(askedAtMs);
  }

  #noteFailed(
    call: FailedTableCall["call"],
    { detail }: StoreRefusal | UnknownStoreOutcome,
    askedAtMs: number,
  ): void {
    const lastedMs = Math.round(this.#context.clock.monotonicMs() - askedAtMs);
    this.#log.failed({ call, detail, lastedMs });
  }

  #noteCurrent(askedAtMs: number): void {
    this.#log.followed(Math.round(this.behindMs));
    this.#currentAtMs = askedAtMs;
    this.#listener.onCurrent?.(askedAtMs);
  }
}
