/**
 * Spreads the processing of data that connections have received over turns of the event loop, so that connections which
 * send much at once hold up no others. Connections take turns.
 */

/** Time for which received data is processed in one turn of the event loop, in ms. */
const MAX_TURN_MS = 2;

/** A connection that has received data which was not processed yet. */
export interface PacedReader {
  /** Processes one piece of the data. Returns whether there is another one that may be processed now. */
  processNext(): boolean;
}

export class ReadPacer {
  /** In the order of their turns. */
  readonly #waiting = new Set<PacedReader>();
  #isScheduled = false;

  /** Has the reader process its data in later turns of the event loop. */
  add(reader: PacedReader): void {
    this.#waiting.add(reader);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#run());
  }

  remove(reader: PacedReader): void {
    this.#waiting.delete(reader);
  }

  #run(): void {
    const untilMs = performance.now() + MAX_TURN_MS;
    for (const reader of this.#waiting) {
      this.#waiting.delete(reader);
      // A reader that is added again comes last.
      if (reader.processNext()) this.#waiting.add(reader);
      if (performance.now() >= untilMs) break;
    }
    this.#isScheduled = this.#waiting.size > 0;
    if (this.#isScheduled) setImmediate(() => this.#run());
  }
}
