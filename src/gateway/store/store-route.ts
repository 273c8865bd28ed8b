/**
 * One way to the store, with a circuit breaker: this gateway's own connections, or a peer that carries calls. The
 * breaker opens after failures in a row, lets one call through after a backoff, and closes with the first answer.
 */
import type { Clock } from "../../runtime/clock.ts";
import type { RandomSource } from "../../runtime/random-source.ts";

/** Failures in a row that open the breaker. One alone says little: the store also refuses single calls. */
const FAILURES_TO_OPEN = 2;
/** First pause of an open breaker, in ms; doubles with each call that fails after a pause. */
const FIRST_BACKOFF_MS = 150;
/** Longest pause of an open breaker, in ms: what it takes at most to notice that the store is back. */
const MAX_BACKOFF_MS = 1_000;
/** Part of a pause that is drawn at random, so that gateways do not all ask at the same moment. */
const MAX_JITTER_FRACTION = 0.5;

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
  readonly #answerTimeoutMs: () => number;
  /** Calls that wait for their answers, oldest first; long polls are not among them. */
  readonly #pendingCalls = new Set<StoreRouteCall>();
  #consecutiveFailures = 0;
  #openUntilMs = Number.NEGATIVE_INFINITY;
  #probe: StoreRouteCall | undefined;
  #lastAnswerMs = Number.NEGATIVE_INFINITY;

  /** @param answerTimeoutMs how long answers take at most, in ms, as observed lately */
  constructor(clock: Clock, random: RandomSource, answerTimeoutMs: () => number) {
    this.#clock = clock;
    this.#random = random;
    this.#answerTimeoutMs = answerTimeoutMs;
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
  get isHealthy(): boolean {
    return this.#consecutiveFailures === 0;
  }

  /** Counts a call that leaves on this route. @param isLongPoll whether the answer is meant to take long */
  startCall(isLongPoll: boolean): StoreRouteCall {
    const call = { startedMs: this.#clock.monotonicMs() };
    if (!isLongPoll) this.#pendingCalls.add(call);
    if (this.#consecutiveFailures >= FAILURES_TO_OPEN) this.#probe = call;
    return call;
  }

  /** The store answered a call, whatever the answer. */
  recordAnswer(call: StoreRouteCall): void {
    this.#finish(call);
    this.#lastAnswerMs = this.#clock.monotonicMs();
    this.#consecutiveFailures = 0;
    this.#openUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** The store refused a call, or gave no answer. */
  recordFailure(call: StoreRouteCall): void {
    this.#finish(call);
    // Calls that left before the last answer say nothing about the route as it is now.
    if (call.startedMs < this.#lastAnswerMs) return;
    // While others are answered, the route works: the store may refuse what concerns some of its parts.
    if (this.#clock.monotonicMs() - this.#lastAnswerMs < this.#answerTimeoutMs()) return;
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures < FAILURES_TO_OPEN) return;
    const doublings = this.#consecutiveFailures - FAILURES_TO_OPEN;
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
    const jitteredMs = backoffMs * (1 - MAX_JITTER_FRACTION * this.#random.unit());
    this.#openUntilMs = Math.max(this.#openUntilMs, this.#clock.monotonicMs() + jitteredMs);
  }

  /** Lets the next call through at once: there is a sign that the route works again. */
  endBackoff(): void {
    this.#openUntilMs = Number.NEGATIVE_INFINITY;
  }

  get #isOpen(): boolean {
    if (this.#consecutiveFailures < FAILURES_TO_OPEN) return false;
    return this.#probe !== undefined || this.#clock.monotonicMs() < this.#openUntilMs;
  }

  get #isStalled(): boolean {
    const [oldest] = this.#pendingCalls;
    if (!oldest || this.#lastAnswerMs >= oldest.startedMs) return false;
    return this.#clock.monotonicMs() - oldest.startedMs >= this.#answerTimeoutMs();
  }

  #finish(call: StoreRouteCall): void {
    this.#pendingCalls.delete(call);
    if (this.#probe === call) this.#probe = undefined;
  }
}
