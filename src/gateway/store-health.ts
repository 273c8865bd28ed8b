/** Whether the platform's store answers this gateway, and the newest version that it has named. */
import { AdaptiveTimeout } from "../coordination/adaptive-timeout/index.ts";
import type { ReadOutcome, TransactionOutcome, WatchOutcome } from "../ports/store/row-store.ts";
import type { GatewayContext } from "./gateway-context.ts";

/**
 * Time without any answer, in ms, after which a call that fails shows that the store is out of reach. Some answers may
 * be lost all the time; the waits for changes are answered every two seconds at least.
 */
const UNREACHABLE_AFTER_MS = 2_200;

/** See the module's comment. */
export class StoreHealth {
  readonly #context: GatewayContext;
  #lastAnswerMs = Number.NEGATIVE_INFINITY;
  #reachable = false;
  #reachableSinceMs = Number.POSITIVE_INFINITY;
  #newestVersion = 0;
  /** How long writes of this gateway wait for their answers. */
  readonly writeTimeout = new AdaptiveTimeout();

  constructor(context: GatewayContext) {
    this.#context = context;
  }

  /** Whether the store has answered lately. */
  get reachable(): boolean {
    return this.#reachable;
  }

  /** For how long the store has been answering without a gap, in ms; 0 while it does not. */
  get reachableForMs(): number {
    return Math.max(0, this.#context.clock.monotonicMs() - this.#reachableSinceMs);
  }

  /** The newest version that any answer has named. */
  get newestVersion(): number {
    return this.#newestVersion;
  }

  /** Takes in how a call ended. */
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
