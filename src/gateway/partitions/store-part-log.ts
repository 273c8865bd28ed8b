/**
 * Logs when parts of the store stop responding and when they respond again. Many parts may change state at once, so
 * changes within a short time share one log line per state.
 */
import type { GatewayContext } from "../gateway-context.ts";
import type { StorePartState } from "./store-part-queue.ts";

/** How long changes are collected before they are logged, in ms. Each batch takes at most three lines. */
const LOG_DELAY_MS = 500;

const MESSAGES: Record<StorePartState, string> = {
  unresponsive: "part of the store silent",
  responsive: "part of the store answers again",
  unknown: "part of the store not tried any more",
};

/** A state change of one part of the store. */
export interface StorePartStateChange {
  readonly part: string;
  readonly state: StorePartState;
  /** How long the part has been unresponsive, in ms. */
  readonly silentMs: number;
  /** Number of turns queued for the part that are not written anywhere yet. */
  readonly waiting: number;
}

/** Collects state changes and logs them in batches. */
export class StorePartLog {
  readonly #context: GatewayContext;
  #changes: StorePartStateChange[] = [];

  constructor(context: GatewayContext) {
    this.#context = context;
  }

  /** Adds a change to the next batch. */
  record(change: StorePartStateChange): void {
    if (this.#changes.push(change) === 1) this.#context.clock.schedule(LOG_DELAY_MS, () => this.#write());
  }

  #write(): void {
    const changes = this.#changes;
    this.#changes = [];
    for (const state of ["unresponsive", "responsive", "unknown"] as const) {
      const sameState = changes.filter((change) => change.state === state);
      const [first] = sameState;
      if (!first) continue;
      const silentMs = Math.round(Math.max(...sameState.map((change) => change.silentMs)));
      const waiting = sameState.reduce((sum, change) => sum + change.waiting, 0);
      const about = sameState.length === 1 ? { part: first.part } : { parts: sameState.length };
      this.#context.log[state === "unresponsive" ? "warn" : "info"](
        { ...about, silentMs, waiting },
        MESSAGES[state],
      );
    }
  }
}
