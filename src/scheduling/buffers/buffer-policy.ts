/**
 * Decides how far answers are read ahead of their callers and, when memory is short, which callers are cut and which requests
 * are refused. A caller is cut by closing its connection.
 */
import type { WaitingCaller } from "./waiting-caller.ts";

/**
 * Maximum fraction of the budget that is used for reading ahead. Below it, callers need not be checked. The rest is for bytes
 * that are held however little is read ahead: requests, answers that are not streamed, and one read from each runner.
 */
const READ_AHEAD_FRACTION = 0.25;
/** Fraction of the budget above which stalled callers are cut. */
const SHORTAGE_FRACTION = 0.75;
/** Fraction of the budget down to which stalled callers are cut, so that not every new answer requires another cut. */
const AFTER_CUTS_FRACTION = 0.5;
/**
 * Fraction of the budget above which the bodies of requests are refused that hold more than their share and are not complete.
 * The rest is for the requests that arrive meanwhile.
 */
const INCOMPLETE_BODIES_FRACTION = 0.75;
/** Fraction of the free read-ahead bytes that one caller may use, so that a few slow callers leave room for others. */
const READ_AHEAD_FRACTION_PER_CALLER = 0.125;
/**
 * Bytes that may be read ahead for a caller however short memory is, about as many as a reading caller takes at a time. Also
 * the bytes that a new request must have available for its answer.
 */
const MIN_READ_AHEAD_BYTES = 32_768;
/**
 * Time without progress after which a caller is stalled, in ms. It is longer than the delay that a retransmitted packet or a
 * short stall of the process causes for a caller that reads.
 */
const STALLED_MS = 2_000;

/** Limits the bytes that a gateway holds for its callers. */
export class BufferPolicy {
  readonly #mostBytes: number;

  /** @param mostBytes budget: the maximum number of bytes held for all callers together */
  constructor(mostBytes: number) {
    this.#mostBytes = mostBytes;
  }

  /** Whether so few bytes are held that callers need not be checked. */
  hasAmpleRoom(heldBytes: number): boolean {
    return heldBytes < this.#mostBytes * READ_AHEAD_FRACTION;
  }

  /** Whether a request with a body of this size must be refused. */
  refuses(heldBytes: number, bodyBytes: number): boolean {
    return this.exceedsBudget(heldBytes + bodyBytes + MIN_READ_AHEAD_BYTES);
  }

  /**
   * Whether a request must be refused whose body is not complete.
   *
   * @param bodyBytes bytes held of its body
   * @param receivingCount number of requests whose bodies are not complete
   */
  refusesRest(heldBytes: number, bodyBytes: number, receivingCount: number): boolean {
    const limitBytes = this.#mostBytes * INCOMPLETE_BODIES_FRACTION;
    if (heldBytes <= limitBytes) return false;
    return bodyBytes > Math.max(MIN_READ_AHEAD_BYTES, limitBytes / Math.max(1, receivingCount));
  }

  /** Whether this number of bytes exceeds the budget. */
  exceedsBudget(heldBytes: number): boolean {
    return heldBytes > this.#mostBytes;
  }

  /** Maximum number of bytes to read ahead for one caller; beyond it, reading from the runner is paused. */
  readAheadBytes(heldBytes: number): number {
    return Math.max(
      MIN_READ_AHEAD_BYTES,
      (this.#mostBytes * READ_AHEAD_FRACTION - heldBytes) * READ_AHEAD_FRACTION_PER_CALLER,
    );
  }

  /**
   * Returns the callers to cut: all stalled callers that keep a runner waiting and then, if memory is still short, the other
   * stalled callers, the longest idle first, until the bytes held are down to {@link AFTER_CUTS_FRACTION} of the budget.
   */
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
