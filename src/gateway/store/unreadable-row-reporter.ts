/** Notes rows of a table that can't be read: all count in the metrics, and one line of the log stands for many. */
import type { GatewayContext } from "../gateway-context.ts";

/** Least time between two lines, in ms. */
const LOG_INTERVAL_MS = 10_000;

/** See the module's comment. */
export class UnreadableRowReporter {
  readonly #context: GatewayContext;
  readonly #table: string;
  #loggedAtMs = Number.NEGATIVE_INFINITY;
  /** Since the last line. */
  #unloggedCount = 0;

  constructor(context: GatewayContext, table: string) {
    this.#context = context;
    this.#table = table;
  }

  /** A row of this key could not be read. */
  report(key: string): void {
    const { clock, log, metrics } = this.#context;
    metrics.rowUnreadable(this.#table);
    this.#unloggedCount += 1;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return;
    log.warn({ table: this.#table, key, times: this.#unloggedCount }, "row cannot be read");
    this.#loggedAtMs = nowMs;
    this.#unloggedCount = 0;
  }
}
