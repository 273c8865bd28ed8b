/**
 * Runners that turned calls away, or could not be reached, although they had a place by what is known here. Each gets
 * nothing for a while, twice as long each time, until a call has ended well there. Pure.
 */
import type { RunnerId } from "../ids/runner-id.ts";

/** For how long the first time, in ms: about the time of a short call, after which a place may be free. */
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1_000;

interface Pause {
  readonly durationMs: number;
  readonly untilMs: number;
}

/** See the module's comment. */
export class RunnerBackoff {
  readonly #pauses = new Map<RunnerId, Pause>();

  /** Whether the runner gets nothing now. */
  isPaused(runner: RunnerId, nowMs: number): boolean {
    const pause = this.#pauses.get(runner);
    return pause !== undefined && nowMs < pause.untilMs;
  }

  /** The runner turned a call away. Several at once are one sign. */
  recordRejection(runner: RunnerId, nowMs: number): void {
    const pause = this.#pauses.get(runner);
    if (pause && nowMs < pause.untilMs) return;
    const durationMs = pause ? Math.min(MAX_PAUSE_MS, 2 * pause.durationMs) : MIN_PAUSE_MS;
    this.#pauses.set(runner, { durationMs, untilMs: nowMs + durationMs });
  }

  /** A call was over at the runner. */
  reset(runner: RunnerId): void {
    this.#pauses.delete(runner);
  }
}
