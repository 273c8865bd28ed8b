/** Keeps the board of runners in line with the platform's list. */
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { RunnerBoard } from "../../scheduling/runner-board/runner-board.ts";
import { TableFollower, type TableListener } from "../configuration/table-follower.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { UnreadableRows } from "../store/unreadable-rows.ts";
import type { StoreHealth } from "../store-health.ts";

/**
 * Runners write their entries all the time, so that a wait for changes ends at once. The list is read only so often that
 * a leaving runner is noticed well before it stops serving: each time that this part of that span has passed.
 */
const PAUSE_PART = 0.3;
/**
 * Entries may lapse while the store is out of reach, because runners cannot renew them. Those of runners that live are
 * back within about two seconds of the store's return; one that is missing after this time, in ms, is gone.
 */
const RETURN_GRACE_MS = 2_500;

/** See the module's comment. */
export class RunnerWatch {
  readonly #context: GatewayContext;
  readonly #health: StoreHealth;
  readonly #board: RunnerBoard;
  readonly #follower: TableFollower;
  readonly #unreadable: UnreadableRows;
  /** Runners whose entries went missing in an outage of the store. */
  readonly #lapsed = new Set<RunnerId>();
  #read = false;
  /** Called each time that the list has been read whole. */
  onReady: () => void = () => undefined;

  constructor(context: GatewayContext, health: StoreHealth, board: RunnerBoard) {
    this.#context = context;
    this.#health = health;
    this.#board = board;
    const listener: TableListener = {
      onTable: (rows) => {
        const listed = new Set<string>(rows.map((row) => row.key));
        for (const { id } of board.entries()) if (!listed.has(id)) this.#removed(id);
        for (const row of rows) this.#written(row.key as RunnerId, row.value);
        this.#read = true;
        this.onReady();
      },
      onChanges: (changes) => {
        for (const { key, value } of changes) {
          if (value === undefined) this.#removed(key as RunnerId);
          else this.#written(key as RunnerId, value);
        }
      },
    };
    const { runnerTable } = context.platform.records;
    this.#unreadable = new UnreadableRows(context, runnerTable);
    const pauseMs = context.settings.timing.runnerDrainMs * PAUSE_PART;
    this.#follower = new TableFollower(context, health, runnerTable, listener, { pauseMs });
  }

  /** Whether the list has been read once. */
  get ready(): boolean {
    return this.#read;
  }

  start(): void {
    this.#follower.start();
  }

  stop(): void {
    this.#follower.stop();
  }

  #written(id: RunnerId, value: Buffer): void {
    this.#lapsed.delete(id);
    const entry = this.#context.platform.records.parseRunner(id, value);
    if (entry) this.#board.upsert(entry);
    else this.#spoilt(id);
  }

  /** Somebody else has written the row: until its runner writes it again, that takes nothing new. */
  #spoilt(id: RunnerId): void {
    this.#unreadable.note(id);
    const known = this.#board.ready(id);
    if (known) this.#board.upsert({ ...known, state: "draining" });
  }

  /** An entry is gone: at once, or, when the store has only just come back, unless it returns soon. */
  #removed(id: RunnerId): void {
    const graceMs = RETURN_GRACE_MS - this.#health.reachableForMs;
    if (graceMs <= 0) return this.#board.remove(id);
    if (this.#lapsed.has(id)) return;
    this.#lapsed.add(id);
    this.#context.log.info(
      { runner: id, graceMs: Math.round(graceMs) },
      "runner's entry lapsed in an outage",
    );
    this.#context.clock.schedule(graceMs, () => {
      if (this.#lapsed.delete(id)) this.#board.remove(id);
    });
  }
}
