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

  start(): void {
    void this.#run();
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
    if (outcome.changes.length > 0) this.#listener.onChanges(outcome.changes);
    this.#version = Math.max(this.#version, outcome.version);
    this.#noteCurrent(askedAtMs);
    if (this.#pauseMs > 0) await delay(this.#context.clock, this.#pauseMs);
    return true;
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
