/**
 * How long a runner takes for a step of its work, in ms: what was seen lately, and a long average that outlives it, so
 * that a fast and a slow runner are told apart where calls are rare. Pure.
 */

/** Time in which the long average takes in half of a change, in ms: many times as long as a slow moment. */
const LONG_TERM_HALF_LIFE_MS = 4_000;
/** Time in which what was seen lately loses half of its weight, in ms: about as long as a slow moment. */
const RECENT_HALF_LIFE_MS = 1_000;
/** Time in which a runner that nobody uses is believed to come halfway back to its pool, in ms: it may have recovered. */
const IDLE_RECOVERY_HALF_LIFE_MS = 10_000;

/** See the module's comment. */
export class RunnerPace {
  #longTermMs: number | undefined;
  #recentMs = 0;
  #updates = 0;
  #sources = 0;
  #updatedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Takes in a pace that was seen lately.
   *
   * @param sources how many nodes have seen it: one alone may be slow itself, or have met a slow moment
   */
  update(paceMs: number, sources: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#updates += 1;
    const weight = Math.max(1 / this.#updates, 1 - 0.5 ** (elapsedMs / LONG_TERM_HALF_LIFE_MS));
    const longTermMs = this.#longTermMs ?? paceMs;
    this.#longTermMs = longTermMs + (paceMs - longTermMs) * weight;
    this.#recentMs = paceMs;
    this.#sources = sources;
    this.#updatedAtMs = nowMs;
  }

  /** When something was taken in last, in ms of the monotonic clock. */
  get updatedAtMs(): number {
    return this.#updatedAtMs;
  }

  /** The long average; undefined where nothing was ever seen. */
  get longTermMs(): number | undefined {
    return this.#longTermMs;
  }

  /** The pace against the usual one of the pool: 2 takes twice as long. */
  slowness(medianMs: number, nowMs: number): number {
    if (this.#longTermMs === undefined) return 1;
    const ageMs = Math.max(0, nowMs - this.#updatedAtMs);
    const recentWeight = (this.#sources / (this.#sources + 1)) * 0.5 ** (ageMs / RECENT_HALF_LIFE_MS);
    const paceMs = this.#longTermMs + (this.#recentMs - this.#longTermMs) * recentWeight;
    return (paceMs / medianMs) ** (0.5 ** (ageMs / IDLE_RECOVERY_HALF_LIFE_MS));
  }
}
