/**
 * Logs each finished call and each runner that ended under one, up to a limit per second. The second half of the limit is reserved for failures. Omitted lines
 * are counted and reported once a second.
 */
import type { Logger } from "pino";
import type { Clock } from "../../runtime/clock.ts";
import type { CallEnd } from "./call-end.ts";
import type { CallRecord } from "./call-record.ts";
import type { RunnerLossRecord } from "./runner-loss-record.ts";

/** Maximum number of lines in a window. */
const MAX_LINES_PER_WINDOW = 300;
/** Number of lines in a window after which only failures are logged. */
const FAILURES_ONLY_FROM_LINES = 150;
const WINDOW_MS = 1_000;
const FIRST_FAILURE_STATUS = 300;

export class CallLog {
  readonly #log: Logger;
  readonly #clock: Clock;
  #windowStartMs = 0;
  #linesInWindow = 0;
  #omittedInWindow = 0;
  /** Lines omitted since the start. */
  omittedTotal = 0;

  constructor(log: Logger, clock: Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Logs a finished call, or counts its line as omitted. */
  logCall(record: CallRecord, end: CallEnd, elapsedMs: number): void {
    const answered = end.status > 0 && end.status < FIRST_FAILURE_STATUS;
    if (!this.#mayLog(answered ? FAILURES_ONLY_FROM_LINES : MAX_LINES_PER_WINDOW)) return;
    this.#log.info(record.toLogFields(end, elapsedMs), answered ? "call answered" : "call failed");
  }

  /** Logs that a runner has ended while it ran a request, or counts the line as omitted. */
  logRunnerEnd(loss: RunnerLossRecord): void {
    if (this.#mayLog(MAX_LINES_PER_WINDOW)) this.#log.warn(loss, "runner ended under a request");
  }

  /** Counts a line, as omitted if the window has that many. */
  #mayLog(limit: number): boolean {
    this.#advanceWindow();
    const isWithinLimit = this.#linesInWindow < limit;
    if (isWithinLimit) {
      this.#linesInWindow += 1;
    } else {
      this.#omittedInWindow += 1;
      this.omittedTotal += 1;
    }
    return isWithinLimit;
  }

  #advanceWindow(): void {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#windowStartMs < WINDOW_MS) return;
    if (this.#omittedInWindow > 0)
      this.#log.warn({ lines: this.#omittedInWindow }, "lines of calls left out");
    this.#windowStartMs = nowMs;
    this.#linesInWindow = 0;
    this.#omittedInWindow = 0;
  }
}
