/**
 * Notices that this process stood still, as when its machine was frozen: between two looks lies more time than a look
 * should ever take. Times in ms of a monotonic clock.
 */
export class PauseDetector {
  readonly #maxIntervalMs: number;
  #lastCheckedAtMs: number | undefined;

  /** @param maxIntervalMs longest time between two looks of a process that runs */
  constructor(maxIntervalMs: number) {
    this.#maxIntervalMs = maxIntervalMs;
  }

  /** Whether the process has stood still since the look before. */
  detectPause(nowMs: number): boolean {
    const previousMs = this.#lastCheckedAtMs ?? nowMs;
    this.#lastCheckedAtMs = nowMs;
    return nowMs - previousMs > this.#maxIntervalMs;
  }
}
