/**
 * Spreads the retries of refused callers over time: one after another as places become free, not all at once. No I/O.
 */

/**
 * How far a retry may lie behind the earliest possible one, in ms. Beyond that, retries are assigned from the earliest
 * time again: callers do not wait for longer.
 */
const RETRY_WINDOW_MS = 1_000;

/** Assigns retry times to refused callers. */
export class RetryTimes {
  #lastAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Delay after which the next refused caller should retry, in ms.
   *
   * @param earliestMs shortest time until a place may be free
   * @param intervalMs time between two places that become free
   */
  next(nowMs: number, earliestMs: number, intervalMs: number): number {
    const earliestAtMs = nowMs + earliestMs;
    const nextAtMs = this.#lastAtMs + intervalMs;
    const isInWindow = nextAtMs >= earliestAtMs && nextAtMs <= earliestAtMs + RETRY_WINDOW_MS;
    this.#lastAtMs = isInWindow ? nextAtMs : earliestAtMs;
    return this.#lastAtMs - nowMs;
  }
}
