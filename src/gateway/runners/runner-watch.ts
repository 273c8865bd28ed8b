/** Keeps the board of runners in line with the platform's list. */
import type { RunnerBoard } from "../../scheduling/runner-board/runner-board.ts";
import type { RunnerEntry } from "../../scheduling/runner-board/runner-entry.ts";
import { TableFollower, type TableListener } from "../configuration/table-follower.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { StoreHealth } from "../store-health.ts";

/** Runners write their entries all the time; a change is seen this much later at most, in ms. */
const PAUSE_MS = 500;

/** See the module's comment. */
export class RunnerWatch {
  readonly #context: GatewayContext;
  readonly #follower: TableFollower;
  #read = false;

  constructor(context: GatewayContext, health: StoreHealth, board: RunnerBoard) {
    this.#context = context;
    const listener: TableListener = {
      onTable: (rows) => {
        board.replace(rows.flatMap((row) => this.#parse(row.key, row.value)));
        this.#read = true;
      },
      onChanges: (changes) => {
        for (const { key, value } of changes) {
          if (value === undefined) board.remove(key);
          else for (const entry of this.#parse(key, value)) board.upsert(entry);
        }
      },
    };
    const { runnerTable } = context.platform.records;
    this.#follower = new TableFollower(context, health, runnerTable, listener, PAUSE_MS);
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

  /** The entry of a row, or nothing when the row is not one. */
  #parse(id: string, value: Buffer): RunnerEntry[] {
    try {
      return [this.#context.platform.records.parseRunner(id, value)];
    } catch (error) {
      this.#context.log.warn({ runner: id, error: String(error) }, "runner's entry cannot be read");
      return [];
    }
  }
}
