import { createClock, type Clock as FakeClock } from "@sinonjs/fake-timers";
import type { Clock, TimerHandle } from "../../src/runtime/clock.ts";

/** The wall clock at the start of every simulation: 2026-01-01T00:00:00Z. */
const START_WALL_MS = 1_767_225_600_000;

/** The one virtual time line of a simulation. */
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

  /** Forgets a timer. */
  cancel(handle: TimerHandle): void {
    this.#clock.clearTimeout(handle.timer as never);
  }

  /** Runs every timer up to a virtual time, letting promises settle after each. */
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

/** Lets every promise that can settle do so; nothing else is waiting, so this is deterministic. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * One simulated process: it can be killed, frozen and woken, and its clock may drift. Whatever reaches it goes
 * through {@link run}, so a dead process does nothing and a frozen one does it later.
 */
export class SimulatedProcess implements Clock {
  readonly name: string;
  readonly zone: string;
  readonly #time: VirtualTime;
  readonly #drift: number;
  #alive = true;
  #frozen = false;
  #deferred: (() => void)[] = [];

  /** @param drift how fast the process's clock goes; 1 is exact */
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

  /** Runs something in this process: now, after it wakes, or never. */
  run(action: () => void): void {
    if (!this.#alive) return;
    if (this.#frozen) this.#deferred.push(action);
    else action();
  }

  /** Ends the process for good. */
  kill(): void {
    this.#alive = false;
    this.#deferred = [];
  }

  /** Stops the process until {@link wake}. */
  freeze(): void {
    this.#frozen = true;
  }

  /** Lets the process go on, with everything that has reached it meanwhile. */
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
