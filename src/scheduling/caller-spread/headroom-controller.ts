/**
 * Moves a gateway's headroom towards what it can take. Gateways of one zone differ in cores, and nobody tells them how much:
 * each gets fewer callers while it is busy, and more while it is idle. The marks leave room in which nothing changes, since
 * each change is news for all other gateways. Pure.
 */
import type { GatewayPressure } from "./gateway-pressure.ts";
import { FULL_HEADROOM, type Headroom } from "./headroom.ts";

/**
 * Shares of busy time at which the headroom falls and rises, by step. At half a call waits for the loop as long as its own
 * work takes, at 0.85 six times as long. The marks are higher the less headroom is left, so that steps still tell gateways
 * apart when all are busy.
 */
const LOWER_ABOVE_BUSY = [1, 0.85, 0.7, 0.6, 0.5];
const RAISE_BELOW_BUSY = [0.65, 0.5, 0.4, 0.3, 0];
/** The rest is for what a garbage collection frees late, and for answers to slow readers. */
const MEMORY_THRESHOLDS = { upper: 0.85, lower: 0.75 };
const CALL_THRESHOLDS = { upper: 1, lower: 0.7 };
/** A loop that is busy for so much of the time cannot keep up: two steps at once. */
const OVERLOADED_BUSY = 0.95;
/** Least time between two changes, in ms: callers and other gateways have followed the one before by then. */
const MIN_CHANGE_INTERVAL_MS = 2_000;
/** What a gateway that stood still takes at first: its callers' requests have piled up meanwhile. */
const HEADROOM_AFTER_STALL: Headroom = 1;
/** Weight of the newest look in the average share of busy time. */
const NEWEST_SAMPLE_WEIGHT = 0.4;

/** See the module's comment. */
export class HeadroomController {
  #headroom: Headroom = FULL_HEADROOM;
  #changedAtMs = Number.NEGATIVE_INFINITY;
  #busy = 0;

  /** What the gateway can take. */
  get headroom(): Headroom {
    return this.#headroom;
  }

  /** Takes in a look at the gateway; looks come evenly, several in the time between two changes. */
  update(pressure: GatewayPressure, nowMs: number): void {
    this.#busy += (pressure.busy - this.#busy) * NEWEST_SAMPLE_WEIGHT;
    if (pressure.stoodStill) return this.#set(Math.min(this.#headroom, HEADROOM_AFTER_STALL), nowMs);
    if (nowMs - this.#changedAtMs < MIN_CHANGE_INTERVAL_MS) return;
    const { memory, calls } = pressure;
    this.#set(this.#headroom + headroomChange(this.#headroom, this.#busy, memory, calls), nowMs);
  }

  #set(headroom: Headroom, nowMs: number): void {
    const bounded = Math.min(FULL_HEADROOM, Math.max(0, headroom));
    if (bounded === this.#headroom) return;
    this.#headroom = bounded;
    this.#changedAtMs = nowMs;
  }
}

function headroomChange(headroom: Headroom, busy: number, memory: number, calls: number): number {
  if (busy > OVERLOADED_BUSY) return -2;
  const isOverloaded = busy > (LOWER_ABOVE_BUSY[headroom] ?? 1);
  if (isOverloaded || memory > MEMORY_THRESHOLDS.upper || calls > CALL_THRESHOLDS.upper) return -1;
  const isIdle = busy < (RAISE_BELOW_BUSY[headroom] ?? 0);
  return isIdle && memory < MEMORY_THRESHOLDS.lower && calls < CALL_THRESHOLDS.lower ? 1 : 0;
}
