/**
 * A retry timeout that adapts to measured response times: the smoothed response time plus four times its deviation, as
 * in TCP's retransmission timer (RFC 6298). It doubles with each call that times out. Pure.
 */

/** The initial value of a timeout and the bounds within which it adapts. */
export interface TimeoutBounds {
  readonly initialMs: number;
  readonly minMs: number;
  readonly maxMs: number;
}

/** Suitable for calls to a store that processes several calls at a time. */
const DEFAULT_BOUNDS: TimeoutBounds = { initialMs: 250, minMs: 100, maxMs: 1_000 };
/** Weight of the newest sample in the smoothed time. */
const TIME_WEIGHT = 0.25;
/** Weight of the newest sample in the smoothed deviation. */
const DEVIATION_WEIGHT = 0.25;
const DEVIATION_MULTIPLIER = 4;

/** Computes the timeout of the next call. Times are in ms. */
export class AdaptiveTimeout {
  readonly #bounds: TimeoutBounds;
  #smoothedMs: number | undefined;
  #deviationMs = 0;
  #currentMs: number;

  constructor(bounds = DEFAULT_BOUNDS) {
    this.#bounds = bounds;
    this.#currentMs = bounds.initialMs;
  }

  /** The current timeout. */
  get currentMs(): number {
    return this.#currentMs;
  }

  /** Records the response time of an answered call. */
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

  /** Records that a call was not answered within the current timeout. */
  recordExpiry(): void {
    this.#currentMs = this.#clamp(2 * this.#currentMs);
  }

  #clamp(timeMs: number): number {
    return Math.min(this.#bounds.maxMs, Math.max(this.#bounds.minMs, timeMs));
  }
}
