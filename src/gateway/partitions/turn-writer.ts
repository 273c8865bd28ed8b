/**
 * Writes retained turns to the store. Turns for the same part of the store are batched, with one transaction per part
 * at a time. A turn is queued for the first of its parts that is not unresponsive. If that part becomes unresponsive,
 * the turn is also queued for the next one, and it is written as soon as one part commits it. A turn's rows never
 * change, so their writes need no fencing: late or repeated writes, to any number of parts, all write the same content.
 */
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { RetainedTurnContent } from "../gateway-messages.ts";
import { PendingTurn } from "./pending-turn.ts";
import { SlowCallThreshold } from "./slow-call-threshold.ts";
import { StorePartLog } from "./store-part-log.ts";
import { StorePartQueue, type StorePartState } from "./store-part-queue.ts";
import type { TransactionSender } from "./transaction-sender.ts";
import { turnParts, turnRows } from "./turn-rows.ts";

/** Distributes turns over the queues of the store's parts. */
export class TurnWriter {
  readonly #context: GatewayContext;
  readonly #sender: TransactionSender;
  readonly #partLog: StorePartLog;
  /** Time after which a transaction of turns is unusually slow, over all parts. */
  readonly #slowWriteThreshold = new SlowCallThreshold();
  /** Queues by part. A part without queued or in-flight turns has no entry. */
  readonly #queues = new Map<string, StorePartQueue>();

  constructor(context: GatewayContext, sender: TransactionSender) {
    this.#context = context;
    this.#sender = sender;
    this.#partLog = new StorePartLog(context);
  }

  /** Resolves with true once the turn is in the store, or with false if that takes longer than `timeoutMs`. */
  write(turn: RequestId, content: RetainedTurnContent, timeoutMs: number): Promise<boolean> {
    const { clock, hash, settings } = this.#context;
    const parts = turnParts(turn, settings.turnParts, hash);
    const rows = turnRows(turn, content, parts[0] ?? "");
    const deadlineMs = clock.monotonicMs() + timeoutMs;
    return new Promise((settle) => this.#enqueue(new PendingTurn(parts, rows, deadlineMs, settle)));
  }

  /** Queues a turn for its first part that is not unresponsive, or for all of its parts if there is none. */
  #enqueue(turn: PendingTurn): void {
    if (Array.from(turn.queuedParts).some((part) => !this.#isUnresponsive(part))) return;
    const next = turn.parts.find((part) => !this.#isUnresponsive(part));
    for (const part of next === undefined ? turn.parts : [next]) {
      if (turn.queuedParts.has(part)) continue;
      turn.addQueuedPart(part);
      this.#queueOf(part).add(turn);
    }
  }

  #isUnresponsive(part: string): boolean {
    return this.#queues.get(part)?.isUnresponsive ?? false;
  }

  #queueOf(part: string): StorePartQueue {
    const known = this.#queues.get(part);
    if (known) return known;
    const queue: StorePartQueue = new StorePartQueue({
      context: this.#context,
      sender: this.#sender,
      slowCallThreshold: this.#slowWriteThreshold,
      part,
      onStateChange: (state, silentMs) => this.#onStateChange(queue, { part, state, silentMs }),
      onWritten: (turns) => this.#onWritten(turns),
      onIdle: () => this.#queues.delete(part),
    });
    this.#queues.set(part, queue);
    return queue;
  }

  #onStateChange(
    queue: StorePartQueue,
    change: { part: string; state: StorePartState; silentMs: number },
  ): void {
    const turns = queue.unwritten;
    this.#partLog.record({ ...change, waiting: turns.length });
    if (change.state === "unresponsive") for (const turn of turns) this.#enqueue(turn);
  }

  #onWritten(turns: readonly PendingTurn[]): void {
    for (const turn of turns) {
      turn.markWritten();
      for (const part of turn.queuedParts) this.#queues.get(part)?.remove(turn);
    }
  }
}
