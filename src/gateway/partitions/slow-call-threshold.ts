/**
 * How long calls of the store usually take, with room for how much that varies. Calls that are not answered do not raise
 * it, and one that is answered late raises it to no more than a few times: a part that is silent does not make the
 * others look slow, while a store that is slow as a whole is known for it after a few answers.
 */
import { AdaptiveTimeout } from "../../coordination/adaptive-timeout/index.ts";

/** Most times the usual time that one answer counts for. As in the timeout's own doubling. */
const MAX_ANSWER_FACTOR = 2;

/** See the module's comment. */
export class SlowCallThreshold {
  readonly #timeout = new AdaptiveTimeout();

  /** The time, in ms, after which a call without an answer has taken unusually long. */
  get currentMs(): number {
    return this.#timeout.currentMs;
  }

  /** A call was answered. */
  recordAnswer(elapsedMs: number): void {
    this.#timeout.answered(Math.min(elapsedMs, MAX_ANSWER_FACTOR * this.currentMs));
  }
}
