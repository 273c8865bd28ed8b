/**
 * A token bucket: tokens come in at a rate and are kept up to a number; each request takes one. It may start with more
 * than it keeps later, and tokens may come in only from some moment on. Pure; times in ms of a monotonic clock.
 */
import type { RateLimit } from "./rate-limit.ts";

const MS_PER_S = 1_000;

/** See the module's comment. */
export class TokenBucket {
  #tokens: number;
  #filledAtMs: number;

  /** @param fillsFromMs when tokens begin to come in */
  constructor(tokens: number, fillsFromMs: number) {
    this.#tokens = tokens;
    this.#filledAtMs = fillsFromMs;
  }

  /** Takes up to `wanted` whole tokens; returns how many there were. */
  take(wanted: number, limit: RateLimit, nowMs: number): number {
    this.#fill(limit, nowMs);
    const taken = Math.min(wanted, Math.floor(this.#tokens));
    this.#tokens -= taken;
    return taken;
  }

  /** Tokens come in earlier than was thought: from this moment on. */
  advanceFillStart(fillsFromMs: number): void {
    this.#filledAtMs = Math.min(this.#filledAtMs, fillsFromMs);
  }

  /** How many tokens there are, parts included. */
  tokens(limit: RateLimit, nowMs: number): number {
    this.#fill(limit, nowMs);
    return this.#tokens;
  }

  /** Time until there is a whole token, in ms. */
  waitMs({ perSecond }: RateLimit, nowMs: number): number {
    const missing = Math.max(0, 1 - this.#tokens);
    return Math.max(0, this.#filledAtMs - nowMs) + (missing / perSecond) * MS_PER_S;
  }

  #fill({ perSecond, burst }: RateLimit, nowMs: number): void {
    if (nowMs <= this.#filledAtMs) return;
    const added = ((nowMs - this.#filledAtMs) / MS_PER_S) * perSecond;
    this.#filledAtMs = nowMs;
    // A bucket that keeps less than one token would never give one.
    this.#tokens = Math.min(this.#tokens + added, Math.max(1, burst));
  }
}
