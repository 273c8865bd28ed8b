/**
 * A token bucket: it is refilled at a constant rate up to its capacity, and each request takes one token. It may start
 * with more tokens than its capacity, and the refill may start at a later time. Pure; times are in ms of a monotonic
 * clock.
 */
import type { RateLimit } from "./rate-limit.ts";

const MS_PER_S = 1_000;

/** Holds the tokens of one subject. */
export class TokenBucket {
  #tokens: number;
  #filledAtMs: number;

  /** @param fillsFromMs time at which the refill starts */
  constructor(tokens: number, fillsFromMs: number) {
    this.#tokens = tokens;
    this.#filledAtMs = fillsFromMs;
  }

  /** Takes up to `wanted` whole tokens; returns the number taken. */
  take(wanted: number, limit: RateLimit, nowMs: number): number {
    this.#fill(limit, nowMs);
    const taken = Math.min(wanted, Math.floor(this.#tokens));
    this.#tokens -= taken;
    return taken;
  }

  /** Moves the start of the refill to an earlier time. */
  advanceFillStart(fillsFromMs: number): void {
    this.#filledAtMs = Math.min(this.#filledAtMs, fillsFromMs);
  }

  /** Returns the number of tokens, including fractions. */
  tokens(limit: RateLimit, nowMs: number): number {
    this.#fill(limit, nowMs);
    return this.#tokens;
  }

  /** Returns the time until a whole token is available, in ms. */
  waitMs({ perSecond }: RateLimit, nowMs: number): number {
    const missing = Math.max(0, 1 - this.#tokens);
    return Math.max(0, this.#filledAtMs - nowMs) + (missing / perSecond) * MS_PER_S;
  }

  #fill({ perSecond, burst }: RateLimit, nowMs: number): void {
    if (nowMs <= this.#filledAtMs) return;
    const added = ((nowMs - this.#filledAtMs) / MS_PER_S) * perSecond;
    this.#filledAtMs = nowMs;
    // A bucket with a capacity below one token would never grant a request.
    this.#tokens = Math.min(this.#tokens + added, Math.max(1, burst));
  }
}
