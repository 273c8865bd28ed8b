/**
 * Updates the board of runners from the platform's list. The list identifies runners by name, the board by incarnation: a
 * runner that restarts under the same name replaces the previous incarnation.
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
import { RunnerVersions } from "./runner-versions.ts";

/**
 * Pause between two reads of the list, as a fraction of the time for which a draining runner still serves. Runners rewrite
 * their entries all the time, so a wait for changes returns at once and would be repeated without a pause. The fraction is
 * small enough that a draining runner is detected well before it stops serving.
 */
const READ_PAUSE_FRACTION = 0.3;
/**
 * Time that a missing entry has to return after the store is reachable again, in ms. Entries can expire during an outage of
 * the store, because runners can't renew them. Live runners renew theirs within about two seconds after the outage. An entry
 * that is still missing after this time belongs to a runner that is gone.
 */
const RENEWAL_GRACE_MS = 2_500;

/** Follows the list of runners and applies its changes to the board. */
export class RunnerWatch {
  readonly #context: GatewayContext;
  readonly #health: StoreHealth;
  readonly #board: RunnerBalancer;
  readonly #follower: TableFollower;
  readonly #unreadableRows: UnreadableRowReporter;
  /** The listed runners, with the incarnation that the board has. */
  readonly #listed = new Map<RunnerName, RunnerEntry>();
  /** Runners whose entries expired during an outage of the store, with the timer that ends their grace period. */
  readonly #graceTimers = new Map<RunnerName, TimerHandle>();
  #hasReadList = false;
  /** The software versions of the runners. */
  readonly versions: RunnerVersions;
  /** Called each time the whole list has been read. */
  onListRead: () => void = () => undefined;
  /**
   * Called when a runner is no longer in the list. It may still process its requests in flight. `hasDrained` tells whether
   * the runner had said that it would leave.
   */
  onRemoved: (runner: RunnerId, hasDrained: boolean) => void = () => undefined;
  /** Called when a runner has restarted, with its previous incarnation, which no longer runs. */
  onReplaced: (runner: RunnerId) => void = () => undefined;

  constructor(context: GatewayContext, health: StoreHealth, board: RunnerBalancer) {
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
          else this.#handleChange(key as RunnerName, value);
        }
      },
      onCurrent: (askedAtMs) => this.versions.recordList(askedAtMs),
    };
    const { runnerTable } = context.platform.records;
    this.#unreadableRows = new UnreadableRowReporter(context, runnerTable);
    const { runnerDrainMs } = context.settings.timing;
    const options = { maxStalenessMs: runnerDrainMs, pauseMs: runnerDrainMs * READ_PAUSE_FRACTION };
    this.#follower = new TableFollower(context, health, runnerTable, listener, options);
    this.versions = new RunnerVersions(this.#listed, runnerDrainMs);
    this.versions.confirmList = () => this.#follower.confirm();
  }

  /** Whether the list has been read at least once. */
  get ready(): boolean {
    return this.#hasReadList;
  }

  start(): void {
    this.#follower.start();
  }

  stop(): void {
    this.#follower.stop();
  }

  /** Handles a row that was written since the list was last current. */
  #handleChange(name: RunnerName, value: Buffer): void {
    this.#handleWrite(name, value);
    const entry = this.#listed.get(name);
    if (entry) this.versions.recordEntry(entry.id, this.#follower.currentAtMs);
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

  /**
   * Handles a row that its runner can't have written. The runner counts as draining, so that it gets no new requests, until
   * it writes a valid row again.
   */
  #handleUnusableRow(name: RunnerName, known: RunnerEntry | undefined): void {
    this.#unreadableRows.report(name);
    if (known) this.#storeEntry({ ...known, state: "draining" });
  }

  #replace(known: RunnerEntry, { id, address, version }: RunnerEntry): void {
    const before = { before: known.id, versionBefore: known.version };
    this.#context.log.info({ runner: id, address, version, ...before }, "runner started again");
    this.#board.remove(known.id);
    this.versions.remove(known.id);
    this.onReplaced(known.id);
  }

  /** Handles a missing entry: removes the runner, after a grace period if the store was unreachable until recently. */
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

  #removeEntry({ name, id, state }: RunnerEntry): void {
    this.#listed.delete(name);
    this.#board.remove(id);
    this.versions.remove(id);
    this.onRemoved(id, state === "draining");
  }
}
