/** Decides how far runners are read ahead of their callers, who is cut and who is refused when memory is short. */
import type { WaitingCaller } from "./waiting-caller.ts";

/**
 * Part of the budget that reading ahead of callers fills at most, and below which nobody needs to be looked at. The rest is
 * for what comes however little is read ahead: requests, plain answers, and one read from each runner.
 */
const READ_AHEAD_FRACTION = 0.25;
/** Part of the budget from which on callers that take nothing are cut. */
const SHORTAGE_FRACTION = 0.75;
/** Part of the budget that is held at most once callers have been cut, so that not every new answer needs a cut. */
const AFTER_CUTS_FRACTION = 0.5;
/** Part of what is free to read ahead that may wait for one caller, so that some slow ones leave room for others. */
const READ_AHEAD_FRACTION_PER_CALLER = 0.125;
/**
 * Bytes that may wait for a caller however short memory is, about what a caller that reads takes at a time; and room that a
 * new request needs for its answer.
 */
const MIN_READ_AHEAD_BYTES = 32_768;
/** Longer than a lost packet and its repetition, or a short standstill, keep a caller that reads from taking anything. */
const STALLED_MS = 2_000;

/** See the module's comment. */
export class BufferPolicy {
  readonly #mostBytes: number;

  /** @param mostBytes what may be held for all callers together */
  constructor(mostBytes: number) {
    this.#mostBytes = mostBytes;
  }

  /** Whether so little is held that nobody needs to be looked at. */
  hasAmpleRoom(heldBytes: number): boolean {
    return heldBytes < this.#mostBytes * READ_AHEAD_FRACTION;
  }

  /** Whether a request that brings so many bytes is refused. */
  refuses(heldBytes: number, bodyBytes: number): boolean {
    return this.exceedsBudget(heldBytes + bodyBytes + MIN_READ_AHEAD_BYTES);
  }

  /** Whether there is no room for so many bytes. */
  exceedsBudget(heldBytes: number): boolean {
    return heldBytes > this.#mostBytes;
  }

  /** Bytes that may wait for one caller before its runner has to wait as well. */
  readAheadBytes(heldBytes: number): number {
    return Math.max(
      MIN_READ_AHEAD_BYTES,
      (this.#mostBytes * READ_AHEAD_FRACTION - heldBytes) * READ_AHEAD_FRACTION_PER_CALLER,
    );
  }

  /** The callers that are cut now. */
  callersToCut<Caller extends WaitingCaller>(callers: readonly Caller[], heldBytes: number): Caller[] {
    const stalled = callers.filter(({ idleMs }) => idleMs >= STALLED_MS);
    const cut = stalled.filter(({ holdsRunner }) => holdsRunner);
    let remainingBytes = cut.reduce((bytes, caller) => bytes - caller.heldBytes, heldBytes);
    if (remainingBytes <= this.#mostBytes * SHORTAGE_FRACTION) return cut;
    const others = stalled.filter(({ holdsRunner }) => !holdsRunner);
    for (const caller of others.sort((left, right) => right.idleMs - left.idleMs)) {
      if (remainingBytes <= this.#mostBytes * AFTER_CUTS_FRACTION) break;
      cut.push(caller);
      remainingBytes -= caller.heldBytes;
    }
    return cut;
  }
}
