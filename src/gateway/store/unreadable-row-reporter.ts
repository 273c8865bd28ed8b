/** Reports rows of a table that can't be decoded. All are counted in the metrics; the log lines are rate-limited. */
import type { GatewayContext } from "../gateway-context.ts";

/** Shortest time between two log lines, in ms. */
const LOG_INTERVAL_MS = 10_000;

/** Counts and logs the unreadable rows of one table. */
export class UnreadableRowReporter {
  readonly #context: GatewayContext;
  readonly #table: string;
  #loggedAtMs = Number.NEGATIVE_INFINITY;
  /** Unreadable rows since the last log line. */
  #unloggedCount = 0;

  constructor(context: GatewayContext, table: string) {
    this.#context = context;
    this.#table = table;
  }

  /** Reports that the row with this key can't be decoded. */
  report(key: string): void {
    const { clock, log, metrics } = this.#context;
    metrics.recordUnreadableRow(this.#table);
    this.#unloggedCount += 1;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return;
    log.warn({ table: this.#table, key, times: this.#unloggedCount }, "row cannot be read");
    this.#loggedAtMs = nowMs;
    this.#unloggedCount = 0;
  }
}
