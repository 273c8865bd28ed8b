/**
 * Logs which parts of the store fall silent and answer again. Many may change at once: changes of a short time go into
 * one line each way.
 */
import type { GatewayContext } from "../gateway-context.ts";
import type { StorePartState } from "./store-part-queue.ts";

/** For how long changes are put together, in ms: at most three lines come of it. */
const LOG_DELAY_MS = 500;

const MESSAGES: Record<StorePartState, string> = {
  silent: "part of the store silent",
  answers: "part of the store answers again",
  unknown: "part of the store not tried any more",
};

/** A change of what is believed of a part. */
export interface StorePartStateChange {
  readonly part: string;
  readonly state: StorePartState;
  /** For how long the part has been silent. */
  readonly silentMs: number;
  /** Turns that wait for the part. */
  readonly waiting: number;
}

/** See the module's comment. */
export class StorePartLog {
  readonly #context: GatewayContext;
  #changes: StorePartStateChange[] = [];

  constructor(context: GatewayContext) {
    this.#context = context;
  }

  /** Takes in a change. */
  record(change: StorePartStateChange): void {
    if (this.#changes.push(change) === 1) this.#context.clock.schedule(LOG_DELAY_MS, () => this.#write());
  }

  #write(): void {
    const changes = this.#changes;
    this.#changes = [];
    for (const state of ["silent", "answers", "unknown"] as const) {
      const sameState = changes.filter((change) => change.state === state);
      const [first] = sameState;
      if (!first) continue;
      const silentMs = Math.round(Math.max(...sameState.map((change) => change.silentMs)));
      const waiting = sameState.reduce((sum, change) => sum + change.waiting, 0);
      const about = sameState.length === 1 ? { part: first.part } : { parts: sameState.length };
      this.#context.log[state === "silent" ? "warn" : "info"](
        { ...about, silentMs, waiting },
        MESSAGES[state],
      );
    }
  }
}
