/**
 * How long a runner takes for a step of its work, in ms: what was seen lately, and a long average that outlives it, so
 * that a fast and a slow runner are told apart where calls are rare. Pure.
 */

/** Time in which the long average takes in half of a change, in ms: many times as long as a slow moment. */
const LONG_HALF_LIFE_MS = 4_000;
/** Time in which what was seen lately loses half of its weight, in ms: about as long as a slow moment. */
const RECENT_HALF_LIFE_MS = 1_000;
/** Time in which a runner that nobody uses is believed to come halfway back to its pool, in ms: it may have recovered. */
const RETURN_HALF_LIFE_MS = 10_000;

/** See the module's comment. */
export class RunnerPace {
  #longMs: number | undefined;
  #recentMs = 0;
  #learned = 0;
  #sources = 0;
  #learnedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Takes in a pace that was seen lately.
   *
   * @param sources how many nodes have seen it: one alone may be slow itself, or have met a slow moment
   */
  learn(paceMs: number, sources: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#learnedAtMs);
    this.#learned += 1;
    const weight = Math.max(1 / this.#learned, 1 - 0.5 ** (elapsedMs / LONG_HALF_LIFE_MS));
    const longMs = this.#longMs ?? paceMs;
    this.#longMs = longMs + (paceMs - longMs) * weight;
    this.#recentMs = paceMs;
    this.#sources = sources;
    this.#learnedAtMs = nowMs;
  }

  /** When something was taken in last, in ms of the monotonic clock. */
  get learnedAtMs(): number {
    return this.#learnedAtMs;
  }

  /** The long average; undefined where nothing was ever seen. */
  get longMs(): number | undefined {
    return this.#longMs;
  }

  /** The pace against the usual one of the pool: 2 takes twice as long. */
  slowness(usualMs: number, nowMs: number): number {
    if (this.#longMs === undefined) return 1;
    const ageMs = Math.max(0, nowMs - this.#learnedAtMs);
    const recentWeight = (this.#sources / (this.#sources + 1)) * 0.5 ** (ageMs / RECENT_HALF_LIFE_MS);
    const paceMs = this.#longMs + (this.#recentMs - this.#longMs) * recentWeight;
    return (paceMs / usualMs) ** (0.5 ** (ageMs / RETURN_HALF_LIFE_MS));
  }
}
