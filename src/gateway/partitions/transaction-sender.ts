/**
 * Sends transactions to the store. One that is not answered for longer than answers take is sent again beside the first
 * try, as it was: its conditions, or that it may be done twice, make this harmless. The first answer counts.
 */
import type { RowTransaction, TransactionOutcome } from "../../ports/store/row-store.ts";
import type { TimerHandle } from "../../runtime/clock.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { StoreHealth } from "../store-health.ts";

/** Tries of one transaction that wait for their answers at the same time. */
const MAX_TRIES = 4;

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
   * @param maxTries most tries that wait for their answers at the same time
   */
  transact(transaction: RowTransaction, maxTries = MAX_TRIES): Promise<TransactionOutcome> {
    return new Promise((resolve) => {
      let started = 0;
      let open = 0;
      let timer: TimerHandle | undefined;
      let over = false;
      const finish = (outcome: TransactionOutcome) => {
        over = true;
        if (timer) this.#context.clock.cancel(timer);
        resolve(outcome);
      };
      const begin = () => {
        started += 1;
        open += 1;
        void this.#try(transaction).then((outcome) => {
          open -= 1;
          if (!over && (isAnswer(outcome) || open === 0)) finish(outcome);
        });
        if (started < maxTries) timer = this.#context.clock.schedule(this.#patienceMs, again);
      };
      const again = () => {
        this.#health.writeTimeout.recordExpiry();
        begin();
      };
      begin();
    });
  }

  get #patienceMs(): number {
    return this.#health.writeTimeout.currentMs;
  }

  async #try(transaction: RowTransaction): Promise<TransactionOutcome> {
    const { clock, metrics, platform } = this.#context;
    const startedMs = clock.monotonicMs();
    const outcome = await platform.store.transact(transaction);
    const elapsedMs = clock.monotonicMs() - startedMs;
    if (isAnswer(outcome)) this.#health.writeTimeout.recordAnswer(elapsedMs);
    metrics.storeWritten(outcome.type, elapsedMs);
    this.#health.note(outcome);
    return outcome;
  }
}

function isAnswer(outcome: TransactionOutcome): boolean {
  return outcome.type === "committed" || outcome.type === "conflict";
}
