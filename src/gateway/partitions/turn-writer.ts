/**
 * Writes retained turns, those of one part of the store together, one transaction of a part after the other. A turn's
 * rows never change once they are there, so that they need no fence: whoever writes them, and however late, writes the
 * same.
 */

import { delay } from "../../runtime/clock.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { RetainedTurnContent } from "../gateway-messages.ts";
import type { TransactionSender } from "./transaction-sender.ts";
import { type TurnRow, turnPart, turnRows } from "./turn-rows.ts";

const RETRY_MS = 40;
/** After this time, in ms, nobody waits for a turn any more. */
const GIVE_UP_MS = 30_000;
/** Most rows in one transaction. */
const MAX_ROWS = 90;
/** Most bytes of rows in one transaction; the store takes 1 MB of text in base 64. */
const MAX_BYTES = 600_000;

interface PendingTurn {
  readonly rows: readonly TurnRow[];
  readonly bytes: number;
  readonly untilMs: number;
  readonly settle: (written: boolean) => void;
}

/** See the module's comment. */
export class TurnWriter {
  readonly #context: GatewayContext;
  readonly #sender: TransactionSender;
  /** Turns that wait for the transaction under way, by part. A part without one has no entry. */
  readonly #queues = new Map<string, PendingTurn[]>();

  constructor(context: GatewayContext, sender: TransactionSender) {
    this.#context = context;
    this.#sender = sender;
  }

  /** Resolves with true once the turn is in the store; with false when that took too long. */
  write(turn: RequestId, content: RetainedTurnContent): Promise<boolean> {
    const { clock, hash, settings } = this.#context;
    const part = turnPart(turn, settings.turnParts, hash);
    const rows = turnRows(turn, content, part);
    const bytes = rows.reduce((sum, row) => sum + row.value.length, 0);
    const untilMs = clock.monotonicMs() + GIVE_UP_MS;
    return new Promise((settle) => {
      const pending = { rows, bytes, untilMs, settle };
      const queue = this.#queues.get(part);
      if (queue) {
        queue.push(pending);
        return;
      }
      this.#queues.set(part, [pending]);
      void this.#run(part);
    });
  }

  async #run(part: string): Promise<void> {
    // What the same turn of the event loop still brings goes along.
    await Promise.resolve();
    for (;;) {
      const batch = takeBatch(this.#queues.get(part) ?? []);
      if (batch.length === 0) break;
      const written = await this.#writeBatch(batch);
      for (const { settle } of batch) settle(written);
    }
    this.#queues.delete(part);
  }

  async #writeBatch(batch: readonly PendingTurn[]): Promise<boolean> {
    const { clock } = this.#context;
    const untilMs = Math.max(...batch.map((pending) => pending.untilMs));
    const transaction = { conditions: [], puts: batch.flatMap(({ rows }) => rows), removes: [] };
    while (clock.monotonicMs() < untilMs) {
      const outcome = await this.#sender.transact(transaction);
      if (outcome.type === "committed") return true;
      await delay(clock, RETRY_MS);
    }
    return false;
  }
}

/** Takes as many turns off the queue as go into one transaction: one at least, if there is any. */
function takeBatch(queue: PendingTurn[]): PendingTurn[] {
  let rows = 0;
  let bytes = 0;
  let count = 0;
  for (const pending of queue) {
    rows += pending.rows.length;
    bytes += pending.bytes;
    if (count > 0 && (rows > MAX_ROWS || bytes > MAX_BYTES)) break;
    count += 1;
  }
  return queue.splice(0, count);
}
