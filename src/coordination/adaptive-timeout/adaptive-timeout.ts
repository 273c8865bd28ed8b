/**
 * How long to wait for an answer before a call is sent again, from how long answers took: the smoothed time and four
 * times its deviation, as in TCP's retransmission timer (RFC 6298). Doubles with each call that is not answered. Pure.
 */

const FIRST_MS = 250;
const MIN_MS = 100;
const MAX_MS = 1_000;
/** Weight of the newest sample in the smoothed time. */
const TIME_WEIGHT = 0.25;
/** Weight of the newest sample in the smoothed deviation. */
const DEVIATION_WEIGHT = 0.25;
const DEVIATIONS = 4;

/** See the module's comment. Times in ms. */
export class AdaptiveTimeout {
  #smoothedMs: number | undefined;
  #deviationMs = 0;
  #currentMs = FIRST_MS;

  /** How long to wait now. */
  get currentMs(): number {
    return this.#currentMs;
  }

  /** A call was answered. */
  answered(elapsedMs: number): void {
    if (this.#smoothedMs === undefined) {
      this.#smoothedMs = elapsedMs;
      this.#deviationMs = elapsedMs / 2;
    } else {
      const difference = elapsedMs - this.#smoothedMs;
      this.#deviationMs += (Math.abs(difference) - this.#deviationMs) * DEVIATION_WEIGHT;
      this.#smoothedMs += difference * TIME_WEIGHT;
    }
    this.#currentMs = bounded(this.#smoothedMs + DEVIATIONS * this.#deviationMs);
  }

  /** A call was not answered in the time that this gave. */
  expired(): void {
    this.#currentMs = bounded(2 * this.#currentMs);
  }
}

function bounded(timeMs: number): number {
  return Math.min(MAX_MS, Math.max(MIN_MS, timeMs));
}
