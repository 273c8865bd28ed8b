/** Runners that are left to the last run of a request under which others have ended. Each reservation expires by itself. */
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";

/** Longest time for which a runner is reserved, in ms. */
const MAX_RESERVATION_MS = 2_000;

export class RunnerReservations {
  readonly #untilMs = new Map<RunnerId, number>();
  /** Those that this gateway has made. */
  readonly #own = new Set<RunnerId>();

  /** Whether any runner is reserved. */
  hasAny(nowMs: number): boolean {
    for (const [runner, untilMs] of this.#untilMs) {
      if (untilMs > nowMs) continue;
      this.#untilMs.delete(runner);
      this.#own.delete(runner);
    }
    return this.#untilMs.size > 0;
  }

  /** Reserves a runner for so long; 0 ends the reservation. */
  set(runner: RunnerId, leaseMs: number, nowMs: number): void {
    if (leaseMs <= 0) this.#untilMs.delete(runner);
    else this.#untilMs.set(runner, nowMs + Math.min(leaseMs, MAX_RESERVATION_MS));
  }

  /** The same for a run of this gateway. */
  setOwn(runner: RunnerId, leaseMs: number, nowMs: number): void {
    this.set(runner, leaseMs, nowMs);
    if (leaseMs <= 0) this.#own.delete(runner);
    else this.#own.add(runner);
  }

  isOwn(runner: RunnerId): boolean {
    return this.#own.has(runner);
  }

  isReserved(runner: RunnerId, nowMs: number): boolean {
    return (this.#untilMs.get(runner) ?? 0) > nowMs;
  }
}
