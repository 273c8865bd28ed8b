/**
 * Sends transactions to the store. One that is not answered for longer than answers take is sent again beside the first
 * try, as it was: its conditions, or that it may be done twice, make this harmless. The first answer counts.
 */
import type { RowTransaction, TransactionOutcome } from "../../ports/store/row-store.ts";
import type { TimerHandle } from "../../runtime/clock.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { StoreHealth } from "../store-health.ts";

/** Tries of one transaction that wait for their answers at the same time. */
const MAX_ATTEMPTS = 4;

/** See the module's comment. */
export class TransactionSender {
  readonly #context: GatewayContext;
  readonly #health: StoreHealth;

  constructor(context: GatewayContext, health: StoreHealth) {
    this.#context = context;
    this.#health = health;
  }

  /**
   * Resolves with the first answer; with a refusal or silence when every try has ended so. A conflict may come from a
   * try of the same transaction that was done.
   *
   * @param maxAttempts most tries that wait for their answers at the same time
   */
  transact(transaction: RowTransaction, maxAttempts = MAX_ATTEMPTS): Promise<TransactionOutcome> {
    return new Promise((resolve) => {
      let startedAttempts = 0;
      let pendingAttempts = 0;
      let timer: TimerHandle | undefined;
      let isOver = false;
      const finish = (outcome: TransactionOutcome) => {
        isOver = true;
        if (timer) this.#context.clock.cancel(timer);
        resolve(outcome);
      };
      const startAttempt = () => {
        startedAttempts += 1;
        pendingAttempts += 1;
        void this.#attempt(transaction).then((outcome) => {
          pendingAttempts -= 1;
          if (!isOver && (isAnswer(outcome) || pendingAttempts === 0)) finish(outcome);
        });
        if (startedAttempts < maxAttempts)
          timer = this.#context.clock.schedule(this.#attemptTimeoutMs, retry);
      };
      const retry = () => {
        this.#health.writeTimeout.expired();
        startAttempt();
      };
      startAttempt();
    });
  }

  get #attemptTimeoutMs(): number {
    return this.#health.writeTimeout.currentMs;
  }

  async #attempt(transaction: RowTransaction): Promise<TransactionOutcome> {
    const { clock, metrics, platform } = this.#context;
    const startedMs = clock.monotonicMs();
    const outcome = await platform.store.transact(transaction);
    const elapsedMs = clock.monotonicMs() - startedMs;
    if (isAnswer(outcome)) this.#health.writeTimeout.answered(elapsedMs);
    metrics.storeWritten(outcome.type, elapsedMs);
    this.#health.note(outcome);
    return outcome;
  }
}

function isAnswer(outcome: TransactionOutcome): boolean {
  return outcome.type === "committed" || outcome.type === "conflict";
}
