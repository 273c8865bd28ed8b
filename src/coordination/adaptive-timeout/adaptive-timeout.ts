/**
 * How long to wait for an answer before a call is sent again, from how long answers took: the smoothed time and four
 * times its deviation, as in TCP's retransmission timer (RFC 6298). Doubles with each call that is not answered. Pure.
 */

/** Between which times a time-out moves, and where it begins. */
export interface TimeoutBounds {
  readonly initialMs: number;
  readonly minMs: number;
  readonly maxMs: number;
}

/** For calls of a store that works on several at a time. */
const DEFAULT_BOUNDS: TimeoutBounds = { initialMs: 250, minMs: 100, maxMs: 1_000 };
/** Weight of the newest sample in the smoothed time. */
const TIME_WEIGHT = 0.25;
/** Weight of the newest sample in the smoothed deviation. */
const DEVIATION_WEIGHT = 0.25;
const DEVIATION_MULTIPLIER = 4;

/** See the module's comment. Times in ms. */
export class AdaptiveTimeout {
  readonly #bounds: TimeoutBounds;
  #smoothedMs: number | undefined;
  #deviationMs = 0;
  #currentMs: number;

  constructor(bounds = DEFAULT_BOUNDS) {
    this.#bounds = bounds;
    this.#currentMs = bounds.initialMs;
  }

  /** How long to wait now. */
  get currentMs(): number {
    return this.#currentMs;
  }

  /** A call was answered. */
  recordAnswer(elapsedMs: number): void {
    if (this.#smoothedMs === undefined) {
      this.#smoothedMs = elapsedMs;
      this.#deviationMs = elapsedMs / 2;
    } else {
      const difference = elapsedMs - this.#smoothedMs;
      this.#deviationMs += (Math.abs(difference) - this.#deviationMs) * DEVIATION_WEIGHT;
      this.#smoothedMs += difference * TIME_WEIGHT;
    }
    this.#currentMs = this.#clamp(this.#smoothedMs + DEVIATION_MULTIPLIER * this.#deviationMs);
  }

  /** A call was not answered in the time that this gave. */
  recordExpiry(): void {
    this.#currentMs = this.#clamp(2 * this.#currentMs);
  }

  #clamp(timeMs: number): number {
    return Math.min(this.#bounds.maxMs, Math.max(this.#bounds.minMs, timeMs));
  }
}
