/**
 * Where the lines of the log go: a descriptor, written to in batches. Nothing waits for its reader; what a reader that
 * stalls leaves unread is kept up to a bound, and dropped beyond.
 */
import { pino } from "pino";

/** Lines are written together once they are so many bytes, or after so long. */
const BATCH_BYTES = 4_096;
const FLUSH_DELAY_MS = 250;
/** Bytes that wait for a reader at most. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** See the module's comment. */
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

  /** Takes a line. */
  write(line: string): void {
    this.#destination.write(line);
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setTimeout(() => {
      this.#isFlushScheduled = false;
      this.#destination.flush();
    }, FLUSH_DELAY_MS).unref();
  }

  /** Calls back once everything was written. */
  flush(done: () => void): void {
    this.#destination.flush(done);
  }
}
