/**
 * Sends transactions to the store with hedged retries. A transaction whose response is overdue is sent again unchanged
 * while the first attempt is still pending. This is safe because the transactions are conditional or idempotent. The
 * first response wins.
 */
import type { RowTransaction, TransactionOutcome } from "../../ports/store/row-store.ts";
import type { TimerHandle } from "../../runtime/clock.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { StoreHealth } from "../store-health.ts";

/** Largest number of attempts of one transaction. */
const MAX_ATTEMPTS = 4;

/** Sends each transaction with overlapping attempts, and records response times and outcomes. */
export class TransactionSender {
  readonly #context: GatewayContext;
  readonly #health: StoreHealth;

  constructor(context: GatewayContext, health: StoreHealth) {
    this.#context = context;
    this.#health = health;
  }

  /**
   * Resolves with the first response (committed or conflict). If all pending attempts end without one, resolves with
   * the last refusal or unknown outcome. A conflict may be caused by another attempt of the same transaction that was
   * committed.
   *
   * @param maxAttempts largest number of attempts
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
        this.#health.writeTimeout.recordExpiry();
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
    if (isAnswer(outcome)) this.#health.writeTimeout.recordAnswer(elapsedMs);
    metrics.recordStoreWrite(outcome.type, elapsedMs);
    this.#health.recordOutcome(outcome);
    return outcome;
  }
}

function isAnswer(outcome: TransactionOutcome): boolean {
  return outcome.type === "committed" || outcome.type === "conflict";
}
