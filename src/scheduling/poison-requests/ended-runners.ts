/**
 * Runners that ended lately, and which of them ended together. Runners that are killed, lose power or are cut off often end
 * together; requests end one runner each.
 */
import type { RunnerId } from "../ids/runner-id.ts";

/** Runners whose ends become known within this time may have ended together, in ms. */
const TOGETHER_MS = 60;
/** So many runners end together only if something else than a request ends them. */
const MIN_TOGETHER = 3;
const MAX_ENDED = 5_000;

interface EndedRunner {
  readonly atMs: number;
  hasEndedWithOthers: boolean;
}

export class EndedRunners {
  /** In the order in which their ends became known. */
  readonly #ended = new Map<RunnerId, EndedRunner>();
  #lastTogetherAtMs = Number.NEGATIVE_INFINITY;

  /** Records that a runner is known to have ended, unless it was known before. */
  record(runner: RunnerId, nowMs: number): void {
    if (this.#ended.has(runner)) return;
    this.#ended.set(runner, { atMs: nowMs, hasEndedWithOthers: false });
    const together = [...this.#ended.values()].filter(({ atMs }) => nowMs - atMs <= TOGETHER_MS);
    if (together.length >= MIN_TOGETHER) {
      this.#lastTogetherAtMs = nowMs;
      for (const ended of together) ended.hasEndedWithOthers = true;
    }
    const [oldest] = this.#ended.keys();
    if (this.#ended.size > MAX_ENDED && oldest !== undefined) this.#ended.delete(oldest);
  }

  /** Whether a runner has ended together with others. */
  hasEndedWithOthers(runner: RunnerId): boolean {
    return this.#ended.get(runner)?.hasEndedWithOthers === true;
  }

  /** Time since runners last ended together, in ms. */
  calmForMs(nowMs: number): number {
    return nowMs - this.#lastTogetherAtMs;
  }
}
