/**
 * A route to the store with a circuit breaker. The route is either this gateway's own connections or a peer that relays
 * calls. The breaker opens after consecutive failures, lets one probe through after a back-off and closes with the
 * first answer.
 */
import type { Clock } from "../../runtime/clock.ts";
import type { RandomSource } from "../../runtime/random-source.ts";

/** Consecutive failures that open the breaker. A single failure does not, since the store also refuses single calls. */
const FAILURES_TO_OPEN = 2;
/** First back-off of an open breaker, in ms. It doubles with each call that fails after a back-off. */
const FIRST_BACKOFF_MS = 150;
/** Longest back-off of an open breaker, in ms. It bounds how long it takes to detect that the store is back. */
const MAX_BACKOFF_MS = 1_000;
/** Largest random reduction of a back-off, as a fraction, so that gateways don't all retry at the same moment. */
const MAX_JITTER_FRACTION = 0.5;

/** Whether a route should be used for a call. */
export type StoreRouteState =
  | "usable"
  /** The oldest pending call has waited longer than the answer timeout, and no answer has arrived since it started. */
  | "stalled"
  /** Calls have failed. The next one is let through after a back-off. */
  | "open";

/** A call in flight on a route. */
export interface StoreRouteCall {
  readonly startedMs: number;
}

/** Tracks the calls on one route and derives its state from their results. */
export class StoreRoute {
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #answerTimeoutMs: () => number;
  /** Calls in flight, oldest first, without long polls. */
  readonly #pendingCalls = new Set<StoreRouteCall>();
  #consecutiveFailures = 0;
  #openUntilMs = Number.NEGATIVE_INFINITY;
  /** The call that was let through to probe an open route, while it is in flight. */
  #probe: StoreRouteCall | undefined;
  #lastAnswerMs = Number.NEGATIVE_INFINITY;

  /** @param answerTimeoutMs returns how long answers usually take at most, in ms, from recent response times */
  constructor(clock: Clock, random: RandomSource, answerTimeoutMs: () => number) {
    this.#clock = clock;
    this.#random = random;
    this.#answerTimeoutMs = answerTimeoutMs;
  }

  /** Time of the last answer on this route on the monotonic clock, in ms. */
  get lastAnswerMs(): number {
    return this.#lastAnswerMs;
  }

  get state(): StoreRouteState {
    if (this.#isOpen) return "open";
    return this.#isStalled ? "stalled" : "usable";
  }

  /** Whether no counted failure has happened since the last answer. */
  get isHealthy(): boolean {
    return this.#consecutiveFailures === 0;
  }

  /**
   * Records the start of a call on this route.
   *
   * @param isLongPoll whether the store may wait before it answers
   */
  startCall(isLongPoll: boolean): StoreRouteCall {
    const call = { startedMs: this.#clock.monotonicMs() };
    if (!isLongPoll) this.#pendingCalls.add(call);
    if (this.#consecutiveFailures >= FAILURES_TO_OPEN) this.#probe = call;
    return call;
  }

  /** Records that the store answered a call, with whatever result. */
  recordAnswer(call: StoreRouteCall): void {
    this.#finish(call);
    this.#lastAnswerMs = this.#clock.monotonicMs();
    this.#consecutiveFailures = 0;
    this.#openUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Records that the store refused a call or did not answer it. */
  recordFailure(call: StoreRouteCall): void {
    this.#finish(call);
    // A call that started before the last answer does not show the current state of the route.
    if (call.startedMs < this.#lastAnswerMs) return;
    // The route works while other calls are answered. The store may refuse calls for some of its parts only.
    if (this.#clock.monotonicMs() - this.#lastAnswerMs < this.#answerTimeoutMs()) return;
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures < FAILURES_TO_OPEN) return;
    const doublings = this.#consecutiveFailures - FAILURES_TO_OPEN;
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
    const jitteredMs = backoffMs * (1 - MAX_JITTER_FRACTION * this.#random.unit());
    this.#openUntilMs = Math.max(this.#openUntilMs, this.#clock.monotonicMs() + jitteredMs);
  }

  /** Lets the next call through at once. Called when there is a sign that the route works again. */
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
