/**
 * One way to the store, with a circuit breaker: this gateway's own connections, or a peer that carries calls. The
 * breaker opens after failures in a row, lets one call through after a backoff, and closes with the first answer.
 */
import type { Clock } from "../../runtime/clock.ts";
import type { RandomSource } from "../../runtime/random-source.ts";

/** Failures in a row that open the breaker. One alone says little: the store also refuses single calls. */
const FAILURES_TO_OPEN = 2;
/** First pause of an open breaker, in ms; doubles with each call that fails after a pause. */
const FIRST_PAUSE_MS = 150;
/** Longest pause of an open breaker, in ms: what it takes at most to notice that the store is back. */
const LONGEST_PAUSE_MS = 1_000;
/** Part of a pause that is drawn at random, so that gateways do not all ask at the same moment. */
const JITTER = 0.5;

/** Whether a call should take a route. */
export type StoreRouteState =
  | "usable"
  /** Calls wait for longer than answers take, and nothing has been answered since they left. */
  | "stalled"
  /** Calls have failed; the next one is let through after a pause. */
  | "open";

/** A call under way on a route. */
export interface StoreRouteCall {
  readonly startedMs: number;
}

/** See the module's comment. */
export class StoreRoute {
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #patienceMs: () => number;
  /** Calls that wait for their answers, oldest first; long polls are not among them. */
  readonly #waiting = new Set<StoreRouteCall>();
  #failures = 0;
  #openUntilMs = Number.NEGATIVE_INFINITY;
  #probe: StoreRouteCall | undefined;
  #lastAnswerMs = Number.NEGATIVE_INFINITY;

  /** @param patienceMs how long answers take at most, in ms, as observed lately */
  constructor(clock: Clock, random: RandomSource, patienceMs: () => number) {
    this.#clock = clock;
    this.#random = random;
    this.#patienceMs = patienceMs;
  }

  /** When this route last gave an answer, in ms of the monotonic clock. */
  get lastAnswerMs(): number {
    return this.#lastAnswerMs;
  }

  get state(): StoreRouteState {
    if (this.#isOpen) return "open";
    return this.#isStalled ? "stalled" : "usable";
  }

  /** Whether nothing speaks against the route: no call has failed since its last answer. */
  get isProven(): boolean {
    return this.#failures === 0;
  }

  /** Counts a call that leaves on this route. @param longPoll whether the answer is meant to take long */
  begin(longPoll: boolean): StoreRouteCall {
    const call = { startedMs: this.#clock.monotonicMs() };
    if (!longPoll) this.#waiting.add(call);
    if (this.#failures >= FAILURES_TO_OPEN) this.#probe = call;
    return call;
  }

  /** The store answered a call, whatever the answer. */
  answered(call: StoreRouteCall): void {
    this.#finish(call);
    this.#lastAnswerMs = this.#clock.monotonicMs();
    this.#failures = 0;
    this.#openUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** The store refused a call, or gave no answer. */
  failed(call: StoreRouteCall): void {
    this.#finish(call);
    // Calls that left before the last answer say nothing about the route as it is now.
    if (call.startedMs < this.#lastAnswerMs) return;
    // While others are answered, the route works: the store may refuse what concerns some of its parts.
    if (this.#clock.monotonicMs() - this.#lastAnswerMs < this.#patienceMs()) return;
    this.#failures += 1;
    if (this.#failures < FAILURES_TO_OPEN) return;
    const doublings = this.#failures - FAILURES_TO_OPEN;
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** doublings);
    const drawnMs = pauseMs * (1 - JITTER * this.#random.unit());
    this.#openUntilMs = Math.max(this.#openUntilMs, this.#clock.monotonicMs() + drawnMs);
  }

  /** Lets the next call through at once: there is a sign that the route works again. */
  retrySoon(): void {
    this.#openUntilMs = Number.NEGATIVE_INFINITY;
  }

  get #isOpen(): boolean {
    if (this.#failures < FAILURES_TO_OPEN) return false;
    return this.#probe !== undefined || this.#clock.monotonicMs() < this.#openUntilMs;
  }

  get #isStalled(): boolean {
    const [oldest] = this.#waiting;
    if (!oldest || this.#lastAnswerMs >= oldest.startedMs) return false;
    return this.#clock.monotonicMs() - oldest.startedMs >= this.#patienceMs();
  }

  #finish(call: StoreRouteCall): void {
    this.#waiting.delete(call);
    if (this.#probe === call) this.#probe = undefined;
  }
}
