/**
 * A timer of the event loop. One that fires late, since the process was held up, lets the process read first what has
 * arrived meanwhile: an answer that came in time must not be counted as missed by an asker that had no time to look.
 */

/** Timers that are later than this were held up, in ms; others fire as late as that on any busy process. */
const LATE_THRESHOLD_MS = 5;

/** See the module's comment. */
export class SystemTimer {
  readonly #timeout: NodeJS.Timeout;
  #immediate: NodeJS.Immediate | undefined;

  constructor(delayMs: number, action: () => void) {
    const dueAtMs = performance.now() + delayMs;
    this.#timeout = setTimeout(() => {
      // Immediates run after the event loop has looked at its sockets.
      if (performance.now() - dueAtMs > LATE_THRESHOLD_MS) this.#immediate = setImmediate(action);
      else action();
    }, delayMs);
  }

  /** Passes over a timer that has fired. */
  cancel(): void {
    clearTimeout(this.#timeout);
    if (this.#immediate) clearImmediate(this.#immediate);
  }
}
