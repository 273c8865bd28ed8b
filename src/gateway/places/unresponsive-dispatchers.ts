/** Tracks dispatchers that do not answer. They are not asked for a while, so that not every call waits for a timeout. */

/** Consecutive missed answers after which a dispatcher is paused: a single answer may be late because a machine is busy. */
const MAX_MISSED_ANSWERS = 2;
/** How long a paused dispatcher is not asked, in ms. It is tried again until heartbeats show that it is gone. */
const PAUSE_MS = 500;

interface MissedAnswers {
  missedInARow: number;
  pausedUntilMs: number;
}

export class UnresponsiveDispatchers {
  readonly #byInstance = new Map<string, MissedAnswers>();

  /** Whether a dispatcher should not be asked now. */
  isPaused(instance: string, nowMs: number): boolean {
    const state = this.#byInstance.get(instance);
    return state !== undefined && nowMs < state.pausedUntilMs;
  }

  /** Records that an answer did not arrive in time. */
  noteMissed(instance: string, nowMs: number): void {
    const state = this.#byInstance.get(instance) ?? {
      missedInARow: 0,
      pausedUntilMs: Number.NEGATIVE_INFINITY,
    };
    this.#byInstance.set(instance, state);
    state.missedInARow += 1;
    if (state.missedInARow < MAX_MISSED_ANSWERS || nowMs < state.pausedUntilMs) return;
    state.pausedUntilMs = nowMs + PAUSE_MS;
  }

  /** Clears the record of a dispatcher that has sent something, or is gone. */
  clear(instance: string): void {
    this.#byInstance.delete(instance);
  }
}
