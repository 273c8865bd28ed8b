/** Whether the platform's store answers this gateway, and the newest version that it has named. */
import { AdaptiveTimeout } from "../coordination/adaptive-timeout/index.ts";
import type { ReadOutcome, TransactionOutcome, WatchOutcome } from "../ports/store/row-store.ts";
import type { GatewayContext } from "./gateway-context.ts";

/**
 * Time without any answer, in ms, after which a call that fails shows that the store is out of reach. Some answers may
 * be lost all the time; the waits for changes are answered every two seconds at least.
 */
const LOST_AFTER_MS = 2_200;

/** See the module's comment. */
export class StoreHealth {
  readonly #context: GatewayContext;
  #lastAnswerMs = Number.NEGATIVE_INFINITY;
  #reachable = false;
  #reachableSinceMs = Number.POSITIVE_INFINITY;
  #newestVersion = 0;
  #wasUnreachable = false;
  /** When the first of the writes left that have not been answered since; undefined when the last one was. */
  #writesWaitSinceMs: number | undefined;
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

  /** Whether the store was unreachable at any time since this process started. */
  get wasUnreachable(): boolean {
    return this.#wasUnreachable;
  }

  /** A write leaves for the store. */
  writeBegan(): void {
    this.#writesWaitSinceMs ??= this.#context.clock.monotonicMs();
  }

  /** The store answered a write. */
  writeAnswered(): void {
    this.#writesWaitSinceMs = undefined;
  }

  /** For how long writes have been leaving without any answer, in ms. */
  get writesUnansweredMs(): number {
    if (this.#writesWaitSinceMs === undefined) return 0;
    return this.#context.clock.monotonicMs() - this.#writesWaitSinceMs;
  }

  /** How long a record waits for the store before it is copied, in ms: not at all while no write is answered. */
  get copyDelayMs(): number {
    const { copyAfterMs } = this.#context.settings.replication;
    return this.writesUnansweredMs >= copyAfterMs ? 0 : copyAfterMs;
  }

  /** Takes in how a call ended. */
  note(outcome: ReadOutcome | TransactionOutcome | WatchOutcome): void {
    const nowMs = this.#context.clock.monotonicMs();
    if (outcome.type === "refused" || outcome.type === "unknown") {
      if (nowMs - this.#lastAnswerMs < LOST_AFTER_MS) return;
      this.#wasUnreachable = true;
      this.#set(false, outcome.detail);
      return;
    }
    if ("version" in outcome) this.#newestVersion = Math.max(this.#newestVersion, outcome.version);
    const wasSilent = nowMs - this.#lastAnswerMs >= LOST_AFTER_MS;
    this.#lastAnswerMs = nowMs;
    this.#set(true, "answers");
    // An outage may end before any call of this gateway has failed.
    if (wasSilent) this.#reachableSinceMs = nowMs;
  }

  #set(reachable: boolean, reason: string): void {
    if (this.#reachable === reachable) return;
    this.#reachable = reachable;
    this.#reachableSinceMs = reachable ? this.#context.clock.monotonicMs() : Number.POSITIVE_INFINITY;
    const log = this.#context.log;
    if (reachable) log.info({ reason }, "store reachable");
    else log.warn({ reason, lastAnswerMs: Math.round(this.#lastAnswerMs) }, "store unreachable");
  }
}
