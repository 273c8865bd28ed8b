/**
 * When callers that are refused should come back: one after the other as places come free, not all at one moment. Pure.
 */

/** Times further than this beyond the first are given out anew from it on, in ms: callers do not wait for longer. */
const RETRY_WINDOW_MS = 1_000;

/** See the module's comment. */
export class RetryTimes {
  #lastAtMs = Number.NEGATIVE_INFINITY;

  /**
   * How long the next caller should stay away, in ms.
   *
   * @param earliestMs when there may be a place at the earliest, from now
   * @param intervalMs how often a place comes free
   */
  next(nowMs: number, earliestMs: number, intervalMs: number): number {
    const earliestAtMs = nowMs + earliestMs;
    const nextAtMs = this.#lastAtMs + intervalMs;
    const isInWindow = nextAtMs >= earliestAtMs && nextAtMs <= earliestAtMs + RETRY_WINDOW_MS;
    this.#lastAtMs = isInWindow ? nextAtMs : earliestAtMs;
    return this.#lastAtMs - nowMs;
  }
}
