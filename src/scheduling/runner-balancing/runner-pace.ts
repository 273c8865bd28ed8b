/**
 * Tracks the pace of a runner: the time that it takes for one step of its work, in ms. A long-term average outlasts the most
 * recent value, so that fast and slow runners can be distinguished even if calls are rare. Pure.
 */

/** Time in which the long-term average follows half of a change, in ms: many times as long as a short slowdown. */
const LONG_TERM_HALF_LIFE_MS = 4_000;
/** Time in which the most recent value loses half of its weight, in ms: about as long as a short slowdown. */
const RECENT_HALF_LIFE_MS = 1_000;
/**
 * Time in which the estimated slowness of an unused runner returns halfway to the pace of its pool, in ms: the runner may
 * have recovered.
 */
const IDLE_RECOVERY_HALF_LIFE_MS = 10_000;

/** The most recent pace and the long-term average pace of one runner. */
export class RunnerPace {
  #longTermMs: number | undefined;
  #recentMs = 0;
  #updates = 0;
  #sources = 0;
  #updatedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Updates the pace with a recent value.
   *
   * @param sources number of gateways that observed the value: a single one may be slow itself, or may have met a short
   *   slowdown
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

  /** Time of the last update, in ms of the monotonic clock. */
  get updatedAtMs(): number {
    return this.#updatedAtMs;
  }

  /** The long-term average; undefined before the first update. */
  get longTermMs(): number | undefined {
    return this.#longTermMs;
  }

  /** The pace relative to the median of the pool: a runner of slowness 2 takes twice as long. */
  slowness(medianMs: number, nowMs: number): number {
    if (this.#longTermMs === undefined) return 1;
    const ageMs = Math.max(0, nowMs - this.#updatedAtMs);
    const recentWeight = (this.#sources / (this.#sources + 1)) * 0.5 ** (ageMs / RECENT_HALF_LIFE_MS);
    const paceMs = this.#longTermMs + (this.#recentMs - this.#longTermMs) * recentWeight;
    return (paceMs / medianMs) ** (0.5 ** (ageMs / IDLE_RECOVERY_HALF_LIFE_MS));
  }
}
