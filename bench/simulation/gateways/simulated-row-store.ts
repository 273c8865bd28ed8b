/** The platform's row store as one simulated gateway reaches it, with faults for all gateways or for this one. */
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

/** How the store fails: it refuses calls (`busy`) or does not respond (`silent`). */
export type StoreOutage = "none" | "busy" | "silent";

/** Faults of the store that affect all gateways. */
export interface StoreConditions {
  outage: StoreOutage;
  /** The outage of calls that touch rows of a part. Watches follow a whole table and are not affected. */
  partOutage: (part: string) => StoreOutage;
  /** Factor by which the latency is multiplied. */
  slowness: number;
  /** Fraction of the writes that are executed, but whose response is lost. */
  lostAnswers: number;
  /** Whether such writes are executed 1 to 6 s late. */
  lateWrites: boolean;
}

/** The state of the network path between one gateway and the store. */
export type StorePath = "open" | "cut" | "answersLost";

const CALL_MS = 4;
const TIMEOUT_MS = 1_000;
const LATE_MIN_MS = 1_000;
const LATE_MAX_MS = 6_000;
const POLL_MS = 200;

/** The store that all gateways of a simulation share. */
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

/** A {@link RowStore} client of one simulated gateway. */
export class SimulatedRowStore implements RowStore {
  #path: StorePath = "open";
  /** Number of times that the path was broken. A response that is in transit at that time is lost. */
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

  /** Makes open connections silent. New connections work. */
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
      // The caller cannot detect that the response is lost, and waits until the timeout.
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
   * Simulates sending a call that touches some parts. Returns an outcome only if the call does not reach the store.
   *
   * @param waitMs how long the store may wait before it responds
   */
  async #reachStore(
    parts: readonly string[],
    waitMs = 0,
  ): Promise<{ type: "refused"; detail: string } | { type: "unknown"; detail: string } | undefined> {
    const { conditions } = this.#shared;
    const wayMs = (CALL_MS / 2) * conditions.slowness;
    await delay(this.#process, Math.min(wayMs, TIMEOUT_MS));
    // The caller has timed out. That the store executes the call anyway is a separate fault.
    if (wayMs > TIMEOUT_MS) return { type: "unknown", detail: "no answer" };
    const outages = [conditions.outage, ...parts.map(conditions.partOutage)];
    if (outages.includes("busy")) return { type: "refused", detail: "busy" };
    if (outages.includes("silent") || this.path === "cut") return this.#timeOut(waitMs);
    return undefined;
  }

  /** @param waitMs how long the store might have waited before its response */
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
