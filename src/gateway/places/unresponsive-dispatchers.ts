/** Dispatchers that do not answer. They are not asked for a while, so that calls do not wait for them one by one. */

/** Answers in a row that did not come until a dispatcher counts as silent: one may be late because a machine is busy. */
const MAX_MISSED_ANSWERS = 2;
/** How long a silent dispatcher is not asked, in ms: until heartbeats tell of one that is gone, it is tried again. */
const PAUSE_MS = 500;

interface MissedAnswers {
  missedInARow: number;
  pausedUntilMs: number;
}

/** See the module's comment. */
export class UnresponsiveDispatchers {
  readonly #byInstance = new Map<string, MissedAnswers>();

  /** Whether a dispatcher is not asked now. */
  isPaused(instance: string, nowMs: number): boolean {
    const state = this.#byInstance.get(instance);
    return state !== undefined && nowMs < state.pausedUntilMs;
  }

  /** An answer did not come. */
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

  /** The dispatcher has said something, or is gone. */
  clear(instance: string): void {
    this.#byInstance.delete(instance);
  }
}
