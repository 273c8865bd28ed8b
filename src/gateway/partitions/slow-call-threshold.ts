/**
 * Adaptive threshold above which a store call counts as slow, from the usual duration of calls and its variation. Calls
 * without an answer don't raise it, and the effect of a late answer is capped. So one unresponsive part does not raise
 * the threshold for the others, while a store that is slow as a whole raises it within a few answers.
 */
import { AdaptiveTimeout } from "../../coordination/adaptive-timeout/index.ts";

/** An answer counts for at most this many times the current threshold. Same factor as the doubling of the timeout. */
const MAX_ANSWER_FACTOR = 2;

/** Derives the threshold from the durations of answered calls. */
export class SlowCallThreshold {
  readonly #timeout = new AdaptiveTimeout();

  /** Duration after which a call without an answer is slow, in ms. */
  get currentMs(): number {
    return this.#timeout.currentMs;
  }

  /** Records the duration of an answered call. */
  recordAnswer(elapsedMs: number): void {
    this.#timeout.recordAnswer(Math.min(elapsedMs, MAX_ANSWER_FACTOR * this.currentMs));
  }
}
