/**
 * Keeps the board of runners in line with the platform's list. The list names runners, the board keeps their starts: a
 * runner that starts again under its name replaces the one before.
 */
import type { TimerHandle } from "../../runtime/clock.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../scheduling/ids/runner-name.ts";
import type { RunnerBoard } from "../../scheduling/runner-board/runner-board.ts";
import type { RunnerEntry } from "../../scheduling/runner-board/runner-entry.ts";
import { startOrder } from "../../scheduling/runner-board/start-order.ts";
import { TableFollower, type TableListener } from "../configuration/table-follower.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { UnreadableRows } from "../store/unreadable-rows.ts";
import type { StoreHealth } from "../store-health.ts";

/**
 * Runners write their entries all the time, so that a wait for changes ends at once. The list is read only so often that
 * a leaving runner is noticed well before it stops serving: each time that this part of that span has passed.
 */
const READ_PAUSE_FRACTION = 0.3;
/**
 * Entries may lapse while the store is out of reach, because runners cannot renew them. Those of runners that live are
 * back within about two seconds of the store's return; one that is missing after this time, in ms, is gone.
 */
const RENEWAL_GRACE_MS = 2_500;

/** See the module's comment. */
export class RunnerWatch {
  readonly #context: GatewayContext;
  readonly #health: StoreHealth;
  readonly #board: RunnerBoard;
  readonly #follower: TableFollower;
  readonly #unreadableRows: UnreadableRows;
  /** The start of each listed runner that the board has. */
  readonly #listed = new Map<RunnerName, RunnerEntry>();
  /** Runners whose entries went missing in an outage of the store, with the end of the time to return. */
  readonly #graceTimers = new Map<RunnerName, TimerHandle>();
  #hasReadList = false;
  /** Called each time that the list has been read whole. */
  onListRead: () => void = () => undefined;
  /** Called when a runner is gone from the list; it may still serve what it has. */
  onRemoved: (runner: RunnerId) => void = () => undefined;
  /** Called when a runner has started again: this start of it has ended. */
  onReplaced: (runner: RunnerId) => void = () => undefined;

  constructor(context: GatewayContext, health: StoreHealth, board: RunnerBoard) {
    this.#context = context;
    this.#health = health;
    this.#board = board;
    const listener: TableListener = {
      onTable: (rows) => {
        const keys = new Set<string>(rows.map((row) => row.key));
        for (const name of this.#listed.keys()) if (!keys.has(name)) this.#handleRemoval(name);
        for (const row of rows) this.#handleWrite(row.key as RunnerName, row.value);
        this.#hasReadList = true;
        this.onListRead();
      },
      onChanges: (changes) => {
        for (const { key, value } of changes) {
          if (value === undefined) this.#handleRemoval(key as RunnerName);
          else this.#handleWrite(key as RunnerName, value);
        }
      },
    };
    const { runnerTable } = context.platform.records;
    this.#unreadableRows = new UnreadableRows(context, runnerTable);
    const { runnerDrainMs } = context.settings.timing;
    const options = { maxStalenessMs: runnerDrainMs, pauseMs: runnerDrainMs * READ_PAUSE_FRACTION };
    this.#follower = new TableFollower(context, health, runnerTable, listener, options);
  }

  /** Whether the list has been read once. */
  get ready(): boolean {
    return this.#hasReadList;
  }

  start(): void {
    this.#follower.start();
  }

  stop(): void {
    this.#follower.stop();
  }

  #handleWrite(name: RunnerName, value: Buffer): void {
    this.#cancelGracePeriod(name);
    const entry = this.#context.platform.records.parseRunner(name, value);
    const known = this.#listed.get(name);
    if (!entry) return this.#handleUnusableRow(name, known);
    if (!known) return this.#storeEntry(entry);
    switch (startOrder(known, entry)) {
      case "same":
        return this.#storeEntry(entry);
      case "later":
        this.#replace(known, entry);
        return this.#storeEntry(entry);
      case "earlier":
        return;
      case "unknown":
        return this.#handleUnusableRow(name, known);
    }
  }

  #storeEntry(entry: RunnerEntry): void {
    this.#listed.set(entry.name, entry);
    this.#board.upsert(entry);
  }

  /** Somebody else has written the row: until its runner writes it again, that takes nothing new. */
  #handleUnusableRow(name: RunnerName, known: RunnerEntry | undefined): void {
    this.#unreadableRows.note(name);
    if (known) this.#storeEntry({ ...known, state: "draining" });
  }

  #replace(known: RunnerEntry, { id, address }: RunnerEntry): void {
    this.#context.log.info({ runner: id, address, before: known.id }, "runner started again");
    this.#board.remove(known.id);
    this.onReplaced(known.id);
  }

  /** An entry is gone: at once, or, when the store has only just come back, unless it returns soon. */
  #handleRemoval(name: RunnerName): void {
    const known = this.#listed.get(name);
    if (!known) return;
    const graceMs = RENEWAL_GRACE_MS - this.#health.reachableForMs;
    if (graceMs <= 0) return this.#removeEntry(known);
    if (this.#graceTimers.has(name)) return;
    this.#context.log.info(
      { runner: known.id, graceMs: Math.round(graceMs) },
      "runner's entry lapsed in an outage",
    );
    const timer = this.#context.clock.schedule(graceMs, () => {
      this.#graceTimers.delete(name);
      this.#removeEntry(known);
    });
    this.#graceTimers.set(name, timer);
  }

  #cancelGracePeriod(name: RunnerName): void {
    const timer = this.#graceTimers.get(name);
    if (timer) this.#context.clock.cancel(timer);
    this.#graceTimers.delete(name);
  }

  #removeEntry({ name, id }: RunnerEntry): void {
    this.#listed.delete(name);
    this.#board.remove(id);
    this.onRemoved(id);
  }
}
