/**
 * Detects that this process was paused, for example because its machine was frozen: more time has passed between two
 * checks than in a running process. Times are in ms of a monotonic clock.
 */
export class PauseDetector {
  readonly #maxIntervalMs: number;
  #lastCheckedAtMs: number | undefined;

  /** @param maxIntervalMs maximum time between two checks in a running process */
  constructor(maxIntervalMs: number) {
    this.#maxIntervalMs = maxIntervalMs;
  }

  /** Records a check; returns whether the process was paused since the previous one. */
  detectPause(nowMs: number): boolean {
    const previousMs = this.#lastCheckedAtMs ?? nowMs;
    this.#lastCheckedAtMs = nowMs;
    return nowMs - previousMs > this.#maxIntervalMs;
  }
}
