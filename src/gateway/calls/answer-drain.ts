/**
 * Reads the rest of an answer that nobody waits for, so that its connection can be used again. An answer that is long or slow
 * costs its connection.
 */
import type { HttpExchange } from "../../ports/http/http-exchange.ts";
import type { Clock, TimerHandle } from "../../runtime/clock.ts";

const MAX_BYTES = 65_536;
const MAX_TIME_MS = 1_000;

export class AnswerDrain {
  readonly #clock: Clock;
  readonly #exchange: HttpExchange;
  readonly #timer: TimerHandle;
  #bytes = 0;

  constructor(clock: Clock, exchange: HttpExchange) {
    this.#clock = clock;
    this.#exchange = exchange;
    this.#timer = clock.schedule(MAX_TIME_MS, () => exchange.abort());
  }

  /** Counts a piece of the answer. */
  read(bytes: number): void {
    this.#bytes += bytes;
    if (this.#bytes <= MAX_BYTES) return;
    this.finish();
    this.#exchange.abort();
  }

  /** The answer has ended. */
  finish(): void {
    this.#clock.cancel(this.#timer);
  }
}
