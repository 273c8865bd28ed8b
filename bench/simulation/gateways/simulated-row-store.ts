/** The platform's store as one simulated gateway sees it, with faults for all gateways or for this one. */
import type {
  ReadOutcome,
  RowKey,
  RowRange,
  RowStore,
  RowTransaction,
  StoredRow,
  TransactionOutcome,
  WatchOutcome,
} from "../../../src/ports/store/row-store.ts";
import { delay } from "../../../src/runtime/clock.ts";
import type { RandomSource } from "../../../src/runtime/random-source.ts";
import { type ModelRow, RowStoreModel } from "../../../standins/platform/row-store-model.ts";
import type { SimulatedProcess, VirtualTime } from "../virtual-time.ts";

/** How the store fails to answer: it refuses calls, or says nothing. */
export type StoreOutage = "none" | "busy" | "silent";

/** How the store behaves towards everybody. */
export interface StoreConditions {
  outage: StoreOutage;
  /** What is wrong with calls that touch rows of a part; watches, which follow a whole table, are answered. */
  partOutage: (part: string) => StoreOutage;
  /** Answers take so many times as long. */
  slowness: number;
  /** Part of the writes that are done and not answered. */
  lostAnswers: number;
  /** Whether such writes are done 1 to 6 s later. */
  lateWrites: boolean;
}

/** What passes between one gateway and the store. */
export type StorePath = "open" | "cut" | "answersLost";

const CALL_MS = 4;
const TIMEOUT_MS = 1_000;
const LATE_MIN_MS = 1_000;
const LATE_MAX_MS = 6_000;
const POLL_MS = 200;

/** The store itself: one for all gateways of a simulation. */
export class SharedStore {
  readonly model = new RowStoreModel();
  readonly conditions: StoreConditions = {
    outage: "none",
    partOutage: () => "none",
    slowness: 1,
    lostAnswers: 0,
    lateWrites: false,
  };
  readonly time: VirtualTime;
  readonly random: RandomSource;

  constructor(time: VirtualTime, random: RandomSource) {
    this.time = time;
    this.random = random;
  }
}

/** See the module's comment. */
export class SimulatedRowStore implements RowStore {
  #path: StorePath = "open";
  /** How often the path has broken: an answer that was under way then is never heard. */
  #breaks = 0;
  readonly #shared: SharedStore;
  readonly #process: SimulatedProcess;

  constructor(shared: SharedStore, process: SimulatedProcess) {
    this.#shared = shared;
    this.#process = process;
  }

  get path(): StorePath {
    return this.#path;
  }

  set path(path: StorePath) {
    this.#path = path;
    if (path !== "open") this.#breaks += 1;
  }

  /** Connections that are open say nothing more, and new ones work. */
  silenceConnections(): void {
    this.#breaks += 1;
  }

  async transact(transaction: RowTransaction): Promise<TransactionOutcome> {
    const { conditions, random, time } = this.#shared;
    const trouble = await this.#reachStore(partsOf(transaction));
    if (trouble) return trouble;
    const lost = random.unit() < conditions.lostAnswers;
    if (lost && conditions.lateWrites) {
      time.after(LATE_MIN_MS + random.unit() * (LATE_MAX_MS - LATE_MIN_MS), () => this.#apply(transaction));
    }
    const outcome = lost && conditions.lateWrites ? undefined : this.#apply(transaction);
    if (lost || !outcome || this.path === "answersLost") return this.#timeOut();
    await delay(this.#process, CALL_MS / 2);
    return outcome;
  }

  async read(range: RowRange): Promise<ReadOutcome> {
    const trouble = await this.#reachStore([range.part]);
    if (trouble) return trouble;
    if (this.path === "answersLost") return this.#timeOut();
    const { model } = this.#shared;
    const rows = model.read(range.table, range.part, range.from ?? "", range.until).map(storedRow);
    const { version } = model;
    await delay(this.#process, CALL_MS / 2);
    return { type: "rows", rows, more: false, version };
  }

  async watch(table: string, afterVersion: number, waitMs: number): Promise<WatchOutcome> {
    const { model, time, conditions } = this.#shared;
    const breaks = this.#breaks;
    const untilMs = time.nowMs + waitMs;
    const trouble = await this.#reachStore([], waitMs);
    if (trouble) return trouble;
    for (;;) {
      // Whoever waits does not notice that the answer can't come any more, and waits to the end.
      if (this.#breaks !== breaks || this.path !== "open" || conditions.outage === "silent")
        return this.#timeOut(untilMs - time.nowMs);
      const changes = model.changes(table, afterVersion);
      if (!changes) return { type: "historyGone" };
      if (changes.length > 0 || time.nowMs >= untilMs) {
        return { type: "changes", changes: changes.map(changeOf), version: model.version };
      }
      await delay(this.#process, POLL_MS);
    }
  }

  /**
   * The way of a call to the store that touches some parts; an outcome when it does not get there.
   *
   * @param waitMs how long the store may wait before it answers
   */
  async #reachStore(
    parts: readonly string[],
    waitMs = 0,
  ): Promise<{ type: "refused"; detail: string } | { type: "unknown"; detail: string } | undefined> {
    const { conditions } = this.#shared;
    const wayMs = (CALL_MS / 2) * conditions.slowness;
    await delay(this.#process, Math.min(wayMs, TIMEOUT_MS));
    // Whoever has given up does not hear the answer; that the store does the call all the same is another fault.
    if (wayMs > TIMEOUT_MS) return { type: "unknown", detail: "no answer" };
    const outages = [conditions.outage, ...parts.map(conditions.partOutage)];
    if (outages.includes("busy")) return { type: "refused", detail: "busy" };
    if (outages.includes("silent") || this.path === "cut") return this.#timeOut(waitMs);
    return undefined;
  }

  /** @param waitMs how long the store might have waited before its answer */
  async #timeOut(waitMs = 0): Promise<{ type: "unknown"; detail: string }> {
    await delay(this.#process, TIMEOUT_MS + waitMs);
    return { type: "unknown", detail: "no answer" };
  }

  #apply(transaction: RowTransaction): TransactionOutcome {
    const { model } = this.#shared;
    const outcome = model.transact({
      conditions: transaction.conditions,
      puts: transaction.puts.map((row) => ({ ...keyOf(row), value: row.value.toString("base64") })),
      removes: transaction.removes,
    });
    const { version } = outcome;
    return outcome.committed
      ? { type: "committed", version }
      : { type: "conflict", version, rows: outcome.rows.map(storedRow) };
  }
}

function partsOf({ conditions, puts, removes }: RowTransaction): string[] {
  return [...conditions, ...puts, ...removes].map(({ part }) => part);
}

function keyOf({ table, part, key }: RowKey): RowKey {
  return { table, part, key };
}

function storedRow(row: ModelRow): StoredRow {
  return { ...keyOf(row), value: Buffer.from(row.value ?? "", "base64"), version: row.version };
}

function changeOf(row: ModelRow) {
  const value = row.value === undefined ? undefined : Buffer.from(row.value, "base64");
  return { ...keyOf(row), value, version: row.version };
}
