/**
 * Writes log lines to a file descriptor in batches. Writing never blocks on the reader: if the reader stalls, lines are
 * buffered up to a limit and dropped beyond it.
 */
import { pino } from "pino";

/** Lines are written once this many bytes are buffered, or after the flush delay. */
const BATCH_BYTES = 4_096;
const FLUSH_DELAY_MS = 250;
/** Maximum number of bytes buffered while the reader stalls. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

export class LogSink {
  readonly #destination: ReturnType<typeof pino.destination>;
  #isFlushScheduled = false;

  /** @param descriptor an open file descriptor */
  constructor(descriptor: number) {
    this.#destination = pino.destination({
      fd: descriptor,
      sync: false,
      minLength: BATCH_BYTES,
      maxLength: MAX_BUFFERED_BYTES,
    });
  }

  /** Buffers a line and schedules a flush. */
  write(line: string): void {
    this.#destination.write(line);
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setTimeout(() => {
      this.#isFlushScheduled = false;
      this.#destination.flush();
    }, FLUSH_DELAY_MS).unref();
  }

  /** Calls `done` once all buffered lines are written. */
  flush(done: () => void): void {
    this.#destination.flush(done);
  }
}
