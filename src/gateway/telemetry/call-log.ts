/**
 * Writes a line for each call that is over, so many a second at most: failures first, answered calls as far as there is
 * room. What is left out is counted, and said once a second.
 */
import type { Logger } from "pino";
import type { Clock } from "../../runtime/clock.ts";
import type { CallEnd } from "./call-end.ts";
import type { CallRecord } from "./call-record.ts";

/** Most lines a second. */
const MAX_LINES = 300;
/** Lines a second from which on only failures are written. */
const MAX_ANSWERED_LINES = 150;
const WINDOW_MS = 1_000;
const FIRST_FAILURE_STATUS = 300;

/** See the module's comment. */
export class CallLog {
  readonly #log: Logger;
  readonly #clock: Clock;
  #windowStartMs = 0;
  #lines = 0;
  #leftOut = 0;
  /** Lines left out since the start. */
  leftOutTotal = 0;

  constructor(log: Logger, clock: Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Notes that a call is over. */
  ended(record: CallRecord, end: CallEnd, elapsedMs: number): void {
    this.#turnWindow();
    const answered = end.status > 0 && end.status < FIRST_FAILURE_STATUS;
    if (this.#lines >= (answered ? MAX_ANSWERED_LINES : MAX_LINES)) {
      this.#leftOut += 1;
      this.leftOutTotal += 1;
      return;
    }
    this.#lines += 1;
    this.#log.info(record.line(end, elapsedMs), answered ? "call answered" : "call failed");
  }

  #turnWindow(): void {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#windowStartMs < WINDOW_MS) return;
    if (this.#leftOut > 0) this.#log.warn({ lines: this.#leftOut }, "lines of calls left out");
    this.#windowStartMs = nowMs;
    this.#lines = 0;
    this.#leftOut = 0;
  }
}
