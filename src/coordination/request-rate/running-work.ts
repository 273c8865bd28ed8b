/**
 * Which pieces of work of a subject, each of many requests, are under way: those with a request that went on lately. Pure;
 * times in ms of a monotonic clock.
 */

/** A piece of work that is silent for so long has ended: longer than a step of a program and the pause after it. */
const IDLE_MS = 10_000;

/** See the module's comment. */
export class RunningWork {
  readonly #seenAtMs = new Map<string, number>();

  has(work: string, nowMs: number): boolean {
    const seenAtMs = this.#seenAtMs.get(work);
    return seenAtMs !== undefined && nowMs - seenAtMs <= IDLE_MS;
  }

  note(work: string, nowMs: number): void {
    this.#seenAtMs.set(work, nowMs);
  }

  /** Drops what has ended. */
  forgetIdle(nowMs: number): void {
    for (const [work, seenAtMs] of this.#seenAtMs)
      if (nowMs - seenAtMs > IDLE_MS) this.#seenAtMs.delete(work);
  }
}
