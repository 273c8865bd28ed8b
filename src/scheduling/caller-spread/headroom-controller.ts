/**
 * Adjusts a gateway's headroom to its capacity. The gateways of one zone differ in CPU cores, and their capacity is not
 * configured: each gets fewer callers while it is busy and more while it is idle. Between the thresholds for lowering and
 * raising, the headroom does not change, since each change is sent to all other gateways. Pure.
 */
import type { GatewayPressure } from "./gateway-pressure.ts";
import { FULL_HEADROOM, type Headroom } from "./headroom.ts";

/**
 * Event loop utilization above which the headroom is lowered, and below which it is raised, indexed by the current headroom.
 * At 0.5, a call waits for the event loop as long as its own work takes; at 0.85, six times as long. The thresholds are
 * higher at lower headroom, so that the headroom still distinguishes gateways when all of them are busy.
 */
const LOWER_ABOVE_BUSY = [1, 0.85, 0.7, 0.6, 0.5];
const RAISE_BELOW_BUSY = [0.65, 0.5, 0.4, 0.3, 0];
/**
 * Shares of the memory limit. The rest is reserved for garbage that has not been collected yet, and for answers to callers
 * that read slowly.
 */
const MEMORY_THRESHOLDS = { upper: 0.85, lower: 0.75 };
/** Calls in progress, as a share of the number that fits into memory. */
const CALL_THRESHOLDS = { upper: 1, lower: 0.7 };
/** Event loop utilization above which the gateway is overloaded, and the headroom is lowered by two steps at once. */
const OVERLOADED_BUSY = 0.95;
/** Minimum time between two changes, in ms: after it, callers and other gateways have reacted to the previous change. */
const MIN_CHANGE_INTERVAL_MS = 2_000;
/** Maximum headroom after the process stalled, because requests have accumulated meanwhile. */
const HEADROOM_AFTER_STALL: Headroom = 1;
/** Weight of the newest sample in the average event loop utilization. */
const NEWEST_SAMPLE_WEIGHT = 0.4;

/** Raises and lowers the headroom of one gateway by its measured pressure. */
export class HeadroomController {
  #headroom: Headroom = FULL_HEADROOM;
  #changedAtMs = Number.NEGATIVE_INFINITY;
  #busy = 0;

  /** The current headroom. */
  get headroom(): Headroom {
    return this.#headroom;
  }

  /** Updates the headroom with a new sample. Samples come at a regular interval, several between two changes. */
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
