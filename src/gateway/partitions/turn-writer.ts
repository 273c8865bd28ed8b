/**
 * Writes retained turns beside the owner's other transactions. A turn's row never changes once it is there, so that it
 * needs no fence: whoever writes it, and however late, writes the same.
 */
import { delay } from "../../runtime/clock.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { RetainedTurnContent } from "../gateway-messages.ts";
import { encodeTurn, turnKey } from "./partition-rows.ts";
import type { TransactionSender } from "./transaction-sender.ts";

const RETRY_MS = 40;

/** See the module's comment. */
export class TurnWriter {
  readonly #context: GatewayContext;
  readonly #partition: number;
  readonly #sender: TransactionSender;
  #stopped = false;

  constructor(context: GatewayContext, partition: number, sender: TransactionSender) {
    this.#context = context;
    this.#partition = partition;
    this.#sender = sender;
  }

  /** Resolves with true once the turn is in the store, with false when that is no longer this gateway's to do. */
  async write(turn: string, content: RetainedTurnContent): Promise<boolean> {
    const puts = [{ ...turnKey(this.#partition, turn), value: encodeTurn(content) }];
    while (!this.#stopped) {
      const outcome = await this.#sender.transact({ conditions: [], puts, removes: [] });
      if (outcome.type === "committed") return true;
      await delay(this.#context.clock, RETRY_MS);
    }
    return false;
  }

  /** The partition has another owner, whom callers are to ask. */
  stop(): void {
    this.#stopped = true;
  }
}
