/**
 * Queue of the retained turns to be written to one part of the store, with at most one transaction in flight. A part
 * becomes unresponsive when its transaction takes longer than usual, and stays so until the transaction commits. The
 * transaction is retried even after all of its turns have been written to other parts: its success shows that the part
 * responds again.
 */
import { delay } from "../../runtime/clock.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { PendingTurn } from "./pending-turn.ts";
import type { SlowCallThreshold } from "./slow-call-threshold.ts";
import type { TransactionSender } from "./transaction-sender.ts";

/** Delay before the first retry of a transaction that did not commit, in ms. It doubles with each further retry. */
const FIRST_RETRY_DELAY_MS = 40;
/**
 * Longest retry delay while turns are queued for the part, in ms. It bounds how long they wait after the part responds
 * again.
 */
const MAX_RETRY_DELAY_MS = 320;
/** Longest retry delay when all turns are written to other parts and the retries only probe the part, in ms. */
const MAX_PROBE_DELAY_MS = 1_000;
/** Concurrent attempts at an unresponsive part. More of them would use up the connections to the store. */
const ATTEMPTS_WHEN_UNRESPONSIVE = 1;
/** Largest number of rows in one transaction. */
const MAX_ROWS = 90;
/** Largest total size of the rows in one transaction, in bytes. The store accepts 1 MB of base64 text. */
const MAX_BYTES = 600_000;

/** State of a part of the store. It is unknown if the last transaction was given up and nothing is in flight. */
export type StorePartState = "responsive" | "unresponsive" | "unknown";

/** Dependencies and callbacks of a {@link StorePartQueue}. */
export interface StorePartQueueOptions {
  readonly context: GatewayContext;
  readonly sender: TransactionSender;
  readonly slowCallThreshold: SlowCallThreshold;
  readonly part: string;
  /**
   * Called when the state changes. `afterMs` is the time since the start of the transaction that made the part
   * unresponsive.
   */
  readonly onStateChange: (state: StorePartState, afterMs: number) => void;
  /** Called when turns have been written to the part. */
  readonly onWritten: (turns: readonly PendingTurn[]) => void;
  /** Called when the queue is empty and nothing is in flight. */
  readonly onIdle: () => void;
}

/** Writes queued turns in batches and tracks whether the part responds. */
export class StorePartQueue {
  readonly #options: StorePartQueueOptions;
  readonly #waiting = new Set<PendingTurn>();
  /** Turns of the transaction in flight. */
  #batch: readonly PendingTurn[] = [];
  #isRunning = false;
  /** Start of the transaction that made the part unresponsive; undefined while the part is not unresponsive. */
  #unresponsiveSinceMs: number | undefined;

  constructor(options: StorePartQueueOptions) {
    this.#options = options;
  }

  /** Whether the part has stopped responding. */
  get isUnresponsive(): boolean {
    return this.#unresponsiveSinceMs !== undefined;
  }

  /** Turns in this queue or in flight that have not been written to any part yet. */
  get unwritten(): PendingTurn[] {
    return [...this.#batch, ...this.#waiting].filter((turn) => !turn.isSettled);
  }

  /** Adds a turn to the queue. */
  add(turn: PendingTurn): void {
    this.#waiting.add(turn);
    if (this.#isRunning) return;
    this.#isRunning = true;
    void this.#run();
  }

  /** Removes a turn that no longer needs to be written to this part. */
  remove(turn: PendingTurn): void {
    this.#waiting.delete(turn);
  }

  async #run(): Promise<void> {
    const { onIdle, onWritten, part } = this.#options;
    // Include turns that are added in the same event loop turn.
    await Promise.resolve();
    while (this.#waiting.size > 0) {
      const batch = this.#takeBatch();
      this.#batch = batch;
      const isWritten = await this.#writeBatch(batch);
      this.#batch = [];
      if (isWritten) onWritten(batch);
      else for (const turn of batch) turn.markFailedAt(part);
    }
    this.#isRunning = false;
    // Nothing in flight would show that the part responds again, so the next turn must try it.
    this.#setState("unknown");
    onIdle();
  }

  async #writeBatch(batch: readonly PendingTurn[]): Promise<boolean> {
    const { context, sender, slowCallThreshold } = this.#options;
    const { clock } = context;
    const deadlineMs = Math.max(...batch.map((turn) => turn.deadlineMs));
    const startedMs = clock.monotonicMs();
    const timer = clock.schedule(slowCallThreshold.currentMs, () =>
      this.#setState("unresponsive", startedMs),
    );
    let isWritten = false;
    let retryDelayMs = FIRST_RETRY_DELAY_MS;
    while (!isWritten && clock.monotonicMs() < deadlineMs) {
      const sentMs = clock.monotonicMs();
      const maxAttempts = this.isUnresponsive ? ATTEMPTS_WHEN_UNRESPONSIVE : undefined;
      const outcome = await sender.transact(this.#transaction(batch), maxAttempts);
      isWritten = outcome.type === "committed";
      if (isWritten) slowCallThreshold.recordAnswer(clock.monotonicMs() - sentMs);
      else await delay(clock, retryDelayMs);
      const isProbe = batch.every((turn) => turn.isSettled);
      retryDelayMs = Math.min(2 * retryDelayMs, isProbe ? MAX_PROBE_DELAY_MS : MAX_RETRY_DELAY_MS);
    }
    clock.cancel(timer);
    if (isWritten) this.#setState("responsive");
    return isWritten;
  }

  /** Writes the turns that are not written anywhere yet. If there are none, rewrites one turn to probe the part. */
  #transaction(batch: readonly PendingTurn[]) {
    const unwritten = batch.filter((turn) => !turn.isSettled);
    const turns = unwritten.length > 0 ? unwritten : batch.slice(0, 1);
    return { conditions: [], puts: turns.flatMap((turn) => turn.rowsIn(this.#options.part)), removes: [] };
  }

  /** Removes from the queue as many turns as fit into one transaction, and at least one if any is queued. */
  #takeBatch(): PendingTurn[] {
    const batch: PendingTurn[] = [];
    let rows = 0;
    let bytes = 0;
    for (const turn of this.#waiting) {
      rows += turn.rowCount;
      bytes += turn.bytes;
      if (batch.length > 0 && (rows > MAX_ROWS || bytes > MAX_BYTES)) break;
      batch.push(turn);
      this.#waiting.delete(turn);
    }
    return batch;
  }

  #setState(state: StorePartState, sinceMs = this.#unresponsiveSinceMs): void {
    if ((state === "unresponsive") === this.isUnresponsive || sinceMs === undefined) return;
    this.#unresponsiveSinceMs = state === "unresponsive" ? sinceMs : undefined;
    this.#options.onStateChange(state, this.#options.context.clock.monotonicMs() - sinceMs);
  }
}
