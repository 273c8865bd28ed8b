/**
 * Backs off from runners that rejected a call or could not be reached, although they should have had a free place. Such a
 * runner gets no calls for a while, twice as long each time, until a call completes there. No I/O.
 */
import type { RunnerId } from "../ids/runner-id.ts";

/** First pause, in ms: about the time of a short call, after which a place may be free. */
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1_000;

interface Pause {
  readonly durationMs: number;
  readonly untilMs: number;
}

/** Exponential back-off per runner. */
export class RunnerBackoff {
  readonly #pauses = new Map<RunnerId, Pause>();

  /** Whether the runner gets no calls now. */
  isPaused(runner: RunnerId, nowMs: number): boolean {
    const pause = this.#pauses.get(runner);
    return pause !== undefined && nowMs < pause.untilMs;
  }

  /** Records that the runner rejected a call. Further rejections during a pause do not count. */
  recordRejection(runner: RunnerId, nowMs: number): void {
    const pause = this.#pauses.get(runner);
    if (pause && nowMs < pause.untilMs) return;
    const durationMs = pause ? Math.min(MAX_PAUSE_MS, 2 * pause.durationMs) : MIN_PAUSE_MS;
    this.#pauses.set(runner, { durationMs, untilMs: nowMs + durationMs });
  }

  /** Ends the back-off, since a call has completed at the runner. */
  reset(runner: RunnerId): void {
    this.#pauses.delete(runner);
  }
}
