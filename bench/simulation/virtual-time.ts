import { createClock, type Clock as FakeClock } from "@sinonjs/fake-timers";
import type { Clock, TimerHandle } from "../../src/runtime/clock.ts";

/** The wall clock at the start of every simulation: 2026-01-01T00:00:00Z. */
const START_WALL_MS = 1_767_225_600_000;

/** The virtual clock that all processes of a simulation share. */
export class VirtualTime {
  readonly #clock: FakeClock = createClock(0);

  /** Virtual milliseconds since the start. */
  get nowMs(): number {
    return this.#clock.now;
  }

  /** Calls `action` after a virtual delay. */
  after(delayMs: number, action: () => void): TimerHandle {
    return { timer: this.#clock.setTimeout(action, Math.max(0, Math.round(delayMs))) };
  }

  /** Cancels a timer. */
  cancel(handle: TimerHandle): void {
    this.#clock.clearTimeout(handle.timer as never);
  }

  /** Runs all timers up to a virtual time, or until `stop` returns true, and lets promises settle after each timer. */
  async runUntil(endMs: number, stop: () => boolean = () => false): Promise<void> {
    let reached = false;
    this.#clock.setTimeout(
      () => {
        reached = true;
      },
      Math.max(0, endMs - this.nowMs),
    );
    while (!reached && !stop()) {
      this.#clock.next();
      await settlePromises();
    }
  }
}

/** Waits until all promises that can settle have settled. This is deterministic, as nothing else is pending. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * A simulated process that can be killed, frozen and woken, and whose clock may drift. All its work goes through
 * {@link run}: a dead process discards it, and a frozen process defers it.
 */
export class SimulatedProcess implements Clock {
  readonly name: string;
  readonly zone: string;
  readonly #time: VirtualTime;
  readonly #drift: number;
  #alive = true;
  #frozen = false;
  #deferred: (() => void)[] = [];

  /** @param drift speed of the process's clock; 1 is exact */
  constructor(name: string, zone: string, time: VirtualTime, drift = 1) {
    this.name = name;
    this.zone = zone;
    this.#time = time;
    this.#drift = drift;
  }

  get alive(): boolean {
    return this.#alive;
  }

  get frozen(): boolean {
    return this.#frozen;
  }

  /** Runs an action immediately, after the process wakes if it is frozen, or never if it is dead. */
  run(action: () => void): void {
    if (!this.#alive) return;
    if (this.#frozen) this.#deferred.push(action);
    else action();
  }

  /** Kills the process permanently. */
  kill(): void {
    this.#alive = false;
    this.#deferred = [];
  }

  /** Suspends the process until {@link wake}. */
  freeze(): void {
    this.#frozen = true;
  }

  /** Resumes the process and runs all deferred actions. */
  wake(): void {
    this.#frozen = false;
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const action of deferred) this.run(action);
  }

  monotonicMs(): number {
    return this.#time.nowMs * this.#drift;
  }

  wallMs(): number {
    return START_WALL_MS + this.#time.nowMs;
  }

  schedule(delayMs: number, action: () => void): TimerHandle {
    return this.#time.after(delayMs / this.#drift, () => this.run(action));
  }

  cancel(handle: TimerHandle): void {
    this.#time.cancel(handle);
  }
}
