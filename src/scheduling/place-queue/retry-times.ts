/**
 * When callers that are refused should come back: one after the other as places come free, not all at one moment. Pure.
 */

/** Times further than this beyond the first are given out anew from it on, in ms: callers do not wait for longer. */
const WINDOW_MS = 1_000;

/** See the module's comment. */
export class RetryTimes {
  #lastAtMs = Number.NEGATIVE_INFINITY;

  /**
   * How long the next caller should stay away, in ms.
   *
   * @param earliestMs when there may be a place at the earliest, from now
   * @param stepMs how often a place comes free
   */
  next(nowMs: number, earliestMs: number, stepMs: number): number {
    const earliestAtMs = nowMs + earliestMs;
    const followingMs = this.#lastAtMs + stepMs;
    const isWithin = followingMs >= earliestAtMs && followingMs <= earliestAtMs + WINDOW_MS;
    this.#lastAtMs = isWithin ? followingMs : earliestAtMs;
    return this.#lastAtMs - nowMs;
  }
}
