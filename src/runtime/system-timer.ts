/**
 * A timer of the event loop. When it fires late because the event loop was blocked, the process first reads what has
 * arrived in the meantime. Otherwise a response that arrived in time would count as timed out, only because the process
 * had not read it yet.
 */

/** A timer that fires later than this counts as late. Smaller delays are normal in any busy process. */
const LATE_THRESHOLD_MS = 5;

/** A one-shot timer that lets the event loop read from its sockets first when the timer fires late. */
export class SystemTimer {
  readonly #timeout: NodeJS.Timeout;
  #immediate: NodeJS.Immediate | undefined;

  constructor(delayMs: number, action: () => void) {
    const dueAtMs = performance.now() + delayMs;
    this.#timeout = setTimeout(() => {
      // Immediates run after the event loop has polled its sockets.
      if (performance.now() - dueAtMs > LATE_THRESHOLD_MS) this.#immediate = setImmediate(action);
      else action();
    }, delayMs);
  }

  /** Cancels the timer. Has no effect when its action has run. */
  cancel(): void {
    clearTimeout(this.#timeout);
    if (this.#immediate) clearImmediate(this.#immediate);
  }
}
