import { SystemTimer } from "./system-timer.ts";

/** A pending timer, to be passed to {@link Clock.cancel}. */
export type TimerHandle = { readonly timer: unknown };

/** The only source of time and timers for drivers. The simulation replaces it with a virtual clock. */
export interface Clock {
  /** Monotonic time in ms; use it for every time-out and lease. */
  monotonicMs(): number;
  /** Wall-clock time in ms since 1970; use it only for records and for the windows of budgets. */
  wallMs(): number;
  /** Calls `action` once after `delayMs`. */
  schedule(delayMs: number, action: () => void): TimerHandle;
  /** Cancels a timer. Has no effect on a timer that has fired or was cancelled. */
  cancel(handle: TimerHandle): void;
}

/** The clock of the operating system, with timers of the event loop. */
export class SystemClock implements Clock {
  monotonicMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }

  schedule(delayMs: number, action: () => void): TimerHandle {
    return { timer: new SystemTimer(delayMs, action) };
  }

  cancel(handle: TimerHandle): void {
    (handle.timer as SystemTimer).cancel();
  }
}

/** Resolves after `delayMs` of the clock's time. */
export function delay(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule(delayMs, resolve);
  });
}

/** Calls `action` every `intervalMs`. Returns a function that stops the repetition. */
export function repeat(clock: Clock, intervalMs: number, action: () => void): () => void {
  let stopped = false;
  let handle = clock.schedule(intervalMs, run);
  function run(): void {
    if (stopped) return;
    handle = clock.schedule(intervalMs, run);
    action();
  }
  return () => {
    stopped = true;
    clock.cancel(handle);
  };
}
