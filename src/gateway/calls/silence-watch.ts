/**
 * Watches an attempt that may be repeated elsewhere. A runner that stays silent counts as faulty once it fails other requests,
 * too.
 */
import type { Clock, TimerHandle } from "../../runtime/clock.ts";
import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerAttempt } from "./runner-attempt.ts";

/** How often a runner that stays silent is checked again, in ms. */
const CHECK_INTERVAL_MS = 200;

export class SilenceWatch {
  readonly #clock: Clock;
  readonly #board: RunnerBalancer;
  readonly #onSilent: (attempt: RunnerAttempt) => void;
  #timer: TimerHandle | undefined;

  /** @param onSilent called once with an attempt whose runner is taken for faulty */
  constructor(clock: Clock, board: RunnerBalancer, onSilent: (attempt: RunnerAttempt) => void) {
    this.#clock = clock;
    this.#board = board;
    this.#onSilent = onSilent;
  }

  /** Watches an attempt in place of the one before. */
  start(attempt: RunnerAttempt, delayMs: number): void {
    this.stop();
    this.#timer = this.#clock.schedule(delayMs, () => this.#check(attempt));
  }

  stop(): void {
    if (this.#timer) this.#clock.cancel(this.#timer);
    this.#timer = undefined;
  }

  #check(attempt: RunnerAttempt): void {
    if (!attempt.silent) return;
    const isFaulty = this.#board.isOutlier(attempt.runner.id, this.#clock.monotonicMs());
    if (isFaulty) this.#onSilent(attempt);
    else this.start(attempt, CHECK_INTERVAL_MS);
  }
}
