/**
 * Keeps the board of runners in line with the platform's list. The list names runners, the board keeps their starts: a
 * runner that starts again under its name replaces the one before.
 */
import type { TimerHandle } from "../../runtime/clock.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../scheduling/ids/runner-name.ts";
import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import { startOrder } from "../../scheduling/runner-balancing/start-order.ts";
import { TableFollower, type TableListener } from "../configuration/table-follower.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { UnreadableRowReporter } from "../store/unreadable-row-reporter.ts";
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
  readonly #board: RunnerBalancer;
  readonly #follower: TableFollower;
  readonly #unreadable: UnreadableRowReporter;
  /** The start of each listed runner that the board has. */
  readonly #listed = new Map<RunnerName, RunnerEntry>();
  /** Runners whose entries went missing in an outage of the store, with the end of the time to return. */
  readonly #lapsed = new Map<RunnerName, TimerHandle>();
  #read = false;
  /** Called each time that the list has been read whole. */
  onReady: () => void = () => undefined;
  /** Called when a runner is gone from the list; it may still serve what it has. */
  onLeft: (runner: RunnerId) => void = () => undefined;
  /** Called when a runner has started again: this start of it has ended. */
  onEnded: (runner: RunnerId) => void = () => undefined;

  constructor(context: GatewayContext, health: StoreHealth, board: RunnerBalancer) {
    this.#context = context;
    this.#health = health;
    this.#board = board;
    const listener: TableListener = {
      onTable: (rows) => {
        const keys = new Set<string>(rows.map((row) => row.key));
        for (const name of this.#listed.keys()) if (!keys.has(name)) this.#removed(name);
        for (const row of rows) this.#written(row.key as RunnerName, row.value);
        this.#read = true;
        this.onReady();
      },
      onChanges: (changes) => {
        for (const { key, value } of changes) {
          if (value === undefined) this.#removed(key as RunnerName);
          else this.#written(key as RunnerName, value);
        }
      },
    };
    const { runnerTable } = context.platform.records;
    this.#unreadable = new UnreadableRowReporter(context, runnerTable);
    const { runnerDrainMs } = context.settings.timing;
    const options = { maxStalenessMs: runnerDrainMs, pauseMs: runnerDrainMs * PAUSE_PART };
    this.#follower = new TableFollower(context, health, runnerTable, listener, options);
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

  #written(name: RunnerName, value: Buffer): void {
    this.#returned(name);
    const entry = this.#context.platform.records.parseRunner(name, value);
    const known = this.#listed.get(name);
    if (!entry) return this.#spoilt(name, known);
    if (!known) return this.#list(entry);
    switch (startOrder(known, entry)) {
      case "same":
        return this.#list(entry);
      case "later":
        this.#replaced(known, entry);
        return this.#list(entry);
      case "earlier":
        return;
      case "unknown":
        return this.#spoilt(name, known);
    }
  }

  #list(entry: RunnerEntry): void {
    this.#listed.set(entry.name, entry);
    this.#board.upsert(entry);
  }

  /** Somebody else has written the row: until its runner writes it again, that takes nothing new. */
  #spoilt(name: RunnerName, known: RunnerEntry | undefined): void {
    this.#unreadable.report(name);
    if (known) this.#list({ ...known, state: "draining" });
  }

  #replaced(known: RunnerEntry, { id, address }: RunnerEntry): void {
    this.#context.log.info({ runner: id, address, before: known.id }, "runner started again");
    this.#board.remove(known.id);
    this.onEnded(known.id);
  }

  /** An entry is gone: at once, or, when the store has only just come back, unless it returns soon. */
  #removed(name: RunnerName): void {
    const known = this.#listed.get(name);
    if (!known) return;
    const graceMs = RETURN_GRACE_MS - this.#health.reachableForMs;
    if (graceMs <= 0) return this.#unlist(known);
    if (this.#lapsed.has(name)) return;
    this.#context.log.info(
      { runner: known.id, graceMs: Math.round(graceMs) },
      "runner's entry lapsed in an outage",
    );
    const timer = this.#context.clock.schedule(graceMs, () => {
      this.#lapsed.delete(name);
      this.#unlist(known);
    });
    this.#lapsed.set(name, timer);
  }

  #returned(name: RunnerName): void {
    const timer = this.#lapsed.get(name);
    if (timer) this.#context.clock.cancel(timer);
    this.#lapsed.delete(name);
  }

  #unlist({ name, id }: RunnerEntry): void {
    this.#listed.delete(name);
    this.#board.remove(id);
    this.onLeft(id);
  }
}
