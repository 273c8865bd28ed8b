/**
 * Follows one table of the store: reads it whole, then waits for changes, and reads it anew when the history is gone.
 * What it gives never goes back: an answer that is older than one before is asked for again.
 */
import type { RowChange, StoredRow, StoreRefusal, StoreSilence } from "../../ports/store/row-store.ts";
import { delay } from "../../runtime/clock.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { StoreHealth } from "../store-health.ts";
import { type FailedTableCall, FollowerLog } from "./follower-log.ts";

/** Longest wait for changes, in ms: answers to waits also show that the store is reached. */
const MAX_WAIT_MS = 2_000;
/** A wait lasts for this part of the time within which a change must be known: the rest is for an answer that is lost. */
const WAIT_FRACTION = 0.5;
const RETRY_DELAY_MS = 100;

/** What a follower gives. */
export interface TableListener {
  /** The table as a whole. */
  onTable(rows: readonly StoredRow[]): void;
  onChanges(changes: readonly RowChange[]): void;
  /**
   * What was given is the table as it was at some moment since then.
   *
   * @param askedAtMs when the store was asked, in ms of the monotonic clock
   */
  onCurrent?(askedAtMs: number): void;
}

/** How a table is followed. */
export interface TableFollowerOptions {
  /** Within what time a change must be known, in ms. */
  readonly maxStalenessMs: number;
  /** Least time between two waits, in ms: for tables that change all the time. */
  readonly pauseMs?: number;
}

/** See the module's comment. */
export class TableFollower {
  readonly #context: GatewayContext;
  readonly #health: StoreHealth;
  readonly #table: string;
  readonly #listener: TableListener;
  readonly #pauseMs: number;
  readonly #waitMs: number;
  readonly #log: FollowerLog;
  #stopped = false;
  /** Version of the store up to which the listener knows everything. */
  #version = 0;
  /** What was given is the table as it was at some moment since then, in ms of the monotonic clock. */
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

  /** For how long nothing newer of the table can have been known, in ms; since the start, until it has been read. */
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
      this.#health.note(read);
      if (read.type !== "rows") {
        this.#noteFailed("read", read, askedAtMs);
        return false;
      }
      if (read.version < this.#version) return false;
      // Pages are of different moments: what changed in between comes with the watch from the first one's version.
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

  /** Waits for changes once; false when the table has to be read anew. */
  async #watchOnce(): Promise<boolean> {
    const askedAtMs = this.#context.clock.monotonicMs();
    const outcome = await this.#context.platform.store.watch(this.#table, this.#version, this.#waitMs);
    this.#health.note(outcome);
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
    { detail }: StoreRefusal | StoreSilence,
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
