/**
 * Notices that this process stood still, as when its machine was frozen: between two looks lies more time than a look
 * should ever take. Times in ms of a monotonic clock.
 */
export class Standstill {
  readonly #mostMs: number;
  #lookedAtMs: number | undefined;

  /** @param mostMs longest time between two looks of a process that runs */
  constructor(mostMs: number) {
    this.#mostMs = mostMs;
  }

  /** Whether the process has stood still since the look before. */
  look(nowMs: number): boolean {
    const beforeMs = this.#lookedAtMs ?? nowMs;
    this.#lookedAtMs = nowMs;
    return nowMs - beforeMs > this.#mostMs;
  }
}
