/**
 * The turns that wait for one part of the store, and the transaction of them that is under way. A part whose transaction
 * has waited for longer than usual is silent until it commits; meanwhile the transaction is tried on, also when its turns
 * were written elsewhere, so that it is noticed when the part answers again.
 */
import { delay } from "../../runtime/clock.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { PendingTurn } from "./pending-turn.ts";
import type { SlowCallThreshold } from "./slow-call-threshold.ts";
import type { TransactionSender } from "./transaction-sender.ts";

/** First pause after a transaction that was not done, in ms; doubles with each one in a row. */
const FIRST_RETRY_DELAY_MS = 40;
/** Longest such pause while turns wait for the part, in ms: what they wait at most when it answers again. */
const MAX_RETRY_DELAY_MS = 320;
/** Longest pause when all turns are written elsewhere and only the part's return is to be noticed, in ms. */
const MAX_PROBE_DELAY_MS = 1_000;
/** Tries at the same time at a part that is silent: more of them would take up the connections to the store. */
const ATTEMPTS_WHEN_UNRESPONSIVE = 1;
/** Most rows in one transaction. */
const MAX_ROWS = 90;
/** Most bytes of rows in one transaction; the store takes 1 MB of text in base 64. */
const MAX_BYTES = 600_000;

/** What is believed of a part: that it answers, that it does not, or nothing, as nothing was sent for a while. */
export type StorePartState = "answers" | "silent" | "unknown";

/** What a queue is made of. */
export interface StorePartQueueOptions {
  readonly context: GatewayContext;
  readonly sender: TransactionSender;
  readonly slowCallThreshold: SlowCallThreshold;
  readonly part: string;
  /** The belief has changed, `afterMs` from when the transaction began that tells. */
  readonly onStateChange: (state: StorePartState, afterMs: number) => void;
  /** The part holds these turns. */
  readonly onWritten: (turns: readonly PendingTurn[]) => void;
  /** Nothing waits for the part any more. */
  readonly onIdle: () => void;
}

/** See the module's comment. */
export class StorePartQueue {
  readonly #options: StorePartQueueOptions;
  readonly #waiting = new Set<PendingTurn>();
  /** Turns of the transaction under way. */
  #batch: readonly PendingTurn[] = [];
  #isRunning = false;
  /** When the transaction began that was not answered; undefined while the part counts as one that answers. */
  #unresponsiveSinceMs: number | undefined;

  constructor(options: StorePartQueueOptions) {
    this.#options = options;
  }

  /** Whether the part does not answer. */
  get isUnresponsive(): boolean {
    return this.#unresponsiveSinceMs !== undefined;
  }

  /** Turns that wait here and have been written nowhere yet. */
  get unwritten(): PendingTurn[] {
    return [...this.#batch, ...this.#waiting].filter((turn) => !turn.isSettled);
  }

  /** A turn waits for the part from now on. */
  add(turn: PendingTurn): void {
    this.#waiting.add(turn);
    if (this.#isRunning) return;
    this.#isRunning = true;
    void this.#run();
  }

  /** A turn need not be sent any more. */
  remove(turn: PendingTurn): void {
    this.#waiting.delete(turn);
  }

  async #run(): Promise<void> {
    const { onIdle, onWritten, part } = this.#options;
    // What the same turn of the event loop still brings goes along.
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
    // Nothing is under way that would tell when the part answers again: the next turn is to try.
    this.#setState("unknown");
    onIdle();
  }

  async #writeBatch(batch: readonly PendingTurn[]): Promise<boolean> {
    const { context, sender, slowCallThreshold } = this.#options;
    const { clock } = context;
    const deadlineMs = Math.max(...batch.map((turn) => turn.deadlineMs));
    const startedMs = clock.monotonicMs();
    const timer = clock.schedule(slowCallThreshold.currentMs, () => this.#setState("silent", startedMs));
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
    if (isWritten) this.#setState("answers");
    return isWritten;
  }

  /** Puts what has been written nowhere else; one turn again when all has, to see whether the part answers. */
  #transaction(batch: readonly PendingTurn[]) {
    const unwritten = batch.filter((turn) => !turn.isSettled);
    const turns = unwritten.length > 0 ? unwritten : batch.slice(0, 1);
    return { conditions: [], puts: turns.flatMap((turn) => turn.rowsIn(this.#options.part)), removes: [] };
  }

  /** Takes as many turns off the queue as go into one transaction: one at least, if there is any. */
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
    if ((state === "silent") === this.isUnresponsive || sinceMs === undefined) return;
    this.#unresponsiveSinceMs = state === "silent" ? sinceMs : undefined;
    this.#options.onStateChange(state, this.#options.context.clock.monotonicMs() - sinceMs);
  }
}
