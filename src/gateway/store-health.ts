/** Tracks whether the platform's store answers this gateway, and the newest store version seen in its answers. */
import { AdaptiveTimeout } from "../coordination/adaptive-timeout/index.ts";
import type { ReadOutcome, TransactionOutcome, WatchOutcome } from "../ports/store/row-store.ts";
import type { GatewayContext } from "./gateway-context.ts";

/**
 * Time without any answer, in ms, after which a failed call means that the store is unreachable. Single answers may be
 * lost at any time; the waits for changes are answered at least every two seconds.
 */
const UNREACHABLE_AFTER_MS = 2_200;

export class StoreHealth {
  readonly #context: GatewayContext;
  #lastAnswerMs = Number.NEGATIVE_INFINITY;
  #reachable = false;
  #reachableSinceMs = Number.POSITIVE_INFINITY;
  #newestVersion = 0;
  /** How long writes of this gateway wait for an answer. */
  readonly writeTimeout = new AdaptiveTimeout();

  constructor(context: GatewayContext) {
    this.#context = context;
  }

  /** Whether the store has answered recently. */
  get reachable(): boolean {
    return this.#reachable;
  }

  /** How long the store has been answering without interruption, in ms; 0 while it is unreachable. */
  get reachableForMs(): number {
    return Math.max(0, this.#context.clock.monotonicMs() - this.#reachableSinceMs);
  }

  /** The newest store version in any answer. */
  get newestVersion(): number {
    return this.#newestVersion;
  }

  /** Updates the state with the outcome of a call. */
  recordOutcome(outcome: ReadOutcome | TransactionOutcome | WatchOutcome): void {
    const nowMs = this.#context.clock.monotonicMs();
    if (outcome.type === "refused" || outcome.type === "unknown") {
      if (nowMs - this.#lastAnswerMs < UNREACHABLE_AFTER_MS) return;
      this.#setReachable(false, outcome.detail);
      return;
    }
    if ("version" in outcome) this.#newestVersion = Math.max(this.#newestVersion, outcome.version);
    const wasSilent = nowMs - this.#lastAnswerMs >= UNREACHABLE_AFTER_MS;
    this.#lastAnswerMs = nowMs;
    this.#setReachable(true, "answers");
    // An outage may end before any call of this gateway has failed.
    if (wasSilent) this.#reachableSinceMs = nowMs;
  }

  #setReachable(reachable: boolean, reason: string): void {
    if (this.#reachable === reachable) return;
    this.#reachable = reachable;
    this.#reachableSinceMs = reachable ? this.#context.clock.monotonicMs() : Number.POSITIVE_INFINITY;
    const log = this.#context.log;
    if (reachable) log.info({ reason }, "store reachable");
    else log.warn({ reason, lastAnswerMs: Math.round(this.#lastAnswerMs) }, "store unreachable");
  }
}
