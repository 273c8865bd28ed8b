/**
 * Writes retained turns, those of one part of the store together, one transaction of a part after the other. A turn goes
 * to the first of its parts that is not known to be silent; when that falls silent, to the next as well, and counts as
 * written with the first that commits. A turn's rows never change once they are there, so that they need no fence:
 * whoever writes them, however late, and in however many parts, writes the same.
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

/** See the module's comment. */
export class TurnWriter {
  readonly #context: GatewayContext;
  readonly #sender: TransactionSender;
  readonly #partLog: StorePartLog;
  /** How long transactions of turns take, in whichever part. */
  readonly #slowWriteThreshold = new SlowCallThreshold();
  /** By part. A part for which nothing waits and nothing is under way has no entry. */
  readonly #queues = new Map<string, StorePartQueue>();

  constructor(context: GatewayContext, sender: TransactionSender) {
    this.#context = context;
    this.#sender = sender;
    this.#partLog = new StorePartLog(context);
  }

  /** Resolves with true once the turn is in the store; with false when that took longer than `patienceMs`. */
  write(turn: RequestId, content: RetainedTurnContent, timeoutMs: number): Promise<boolean> {
    const { clock, hash, settings } = this.#context;
    const parts = turnParts(turn, settings.turnParts, hash);
    const rows = turnRows(turn, content, parts[0] ?? "");
    const deadlineMs = clock.monotonicMs() + timeoutMs;
    return new Promise((settle) => this.#enqueue(new PendingTurn(parts, rows, deadlineMs, settle)));
  }

  /** Has a turn wait at a part that is believed to answer; at all of its parts when there is none. */
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
    if (change.state === "silent") for (const turn of turns) this.#enqueue(turn);
  }

  #onWritten(turns: readonly PendingTurn[]): void {
    for (const turn of turns) {
      turn.markWritten();
      for (const part of turn.queuedParts) this.#queues.get(part)?.remove(turn);
    }
  }
}
