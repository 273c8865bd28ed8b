/** Keeps the board of runners in line with the platform's list. */
import type { RunnerBoard } from "../../scheduling/runner-board/runner-board.ts";
import type { RunnerEntry } from "../../scheduling/runner-board/runner-entry.ts";
import { TableFollower } from "../configuration/table-follower.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { StoreHealth } from "../store-health.ts";

/** See the module's comment. */
export class RunnerWatch {
  readonly #context: GatewayContext;
  readonly #follower: TableFollower;
  #read = false;

  constructor(context: GatewayContext, health: StoreHealth, board: RunnerBoard) {
    this.#context = context;
    this.#follower = new TableFollower(context, health, context.platform.records.runnerTable, {
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
    });
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
