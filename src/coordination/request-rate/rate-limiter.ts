/**
 * Who of many subjects may send requests now, as the one owner of their limits decides it. Owners follow one another, and
 * a new one knows nothing of what the one before has admitted; that one may even go on for a while, cut off from the new
 * one. So a new owner starts with little, and its buckets fill only once the one before must have noticed. The first owner
 * of all starts with full buckets, and one that took over from an owner that ended as planned with what that one had left.
 *
 * Guarantee: as long as an owner that is cut off admits no more than its share (see {@link RateLimiter.take}) from the end
 * of its successor's doubt on, all owners together stay within the limit and its tolerance in every window.
 *
 * Pure; times in ms of a monotonic clock.
 */

import type { InitialRateState } from "./initial-rate-state.ts";
import type { RateAnswer } from "./rate-answer.ts";
import type { RateHandOver } from "./rate-hand-over.ts";
import type { RateLimit } from "./rate-limit.ts";
import type { RateRequestId } from "./rate-request-id.ts";
import type { RateTolerance } from "./rate-tolerance.ts";
import { TokenBucket } from "./token-bucket.ts";

const MS_PER_S = 1_000;
/**
 * Part of the tolerance that a new owner hands out on credit, when it reaches all members. An owner that dies is missed
 * after a second or more, so that at most three follow one another within a window of some seconds.
 */
const CREDIT_FRACTION = 1 / 3;
/** Members out of reach up to this part of all take nothing from the rate: half of a tolerance of a tenth. */
const FULL_SHARE_THRESHOLD = 0.95;
/** Bucket of a subject that has not asked for so long is full, and is dropped. */
const IDLE_MS = 60_000;

/** The last question of an asker, and what it was told. */
interface AnsweredRequest {
  readonly number: number;
  readonly answer: RateAnswer;
}

interface Account {
  readonly bucket: TokenBucket;
  limit: RateLimit;
  /** Version of the configuration that the limit is from. */
  limitVersion: number;
  /** When the last of those that were turned away was told to come back. */
  lastRetryAtMs: number;
  lastRequestAtMs: number;
  /** By asker. */
  readonly answered: Map<string, AnsweredRequest>;
}

/** What a request for tokens says. */
export interface RateRequest {
  readonly subject: string;
  readonly wanted: number;
  readonly limit: RateLimit;
  /** Of the configuration that the limit is from; a newer one replaces it. */
  readonly limitVersion: number;
  /** A question that is repeated gets the answer that it had. Left out by askers that never repeat one. */
  readonly requestId?: RateRequestId | undefined;
}

/** See the module's comment. */
export class RateLimiter {
  readonly #accounts = new Map<string, Account>();
  readonly #tolerance: RateTolerance;
  #initialState: InitialRateState;

  constructor(tolerance: RateTolerance, initialState: InitialRateState) {
    this.#tolerance = tolerance;
    this.#initialState = initialState;
  }

  /** The start of the first owner of all. */
  static firstOwnerState(): InitialRateState {
    return { tokens: new Map(), tokensAtMs: 0, fillsFromMs: undefined };
  }

  /**
   * The start of an owner to which nothing was handed over.
   *
   * @param overlapUntilMs until when the owner before may still admit requests
   */
  static stateWithoutHandOver(overlapUntilMs: number): InitialRateState {
    return { tokens: new Map(), tokensAtMs: 0, fillsFromMs: overlapUntilMs };
  }

  /** The start of an owner that took over as planned. */
  static stateFromHandOver({ tokens, filledForMs }: RateHandOver, nowMs: number): InitialRateState {
    return {
      tokens: new Map(tokens),
      tokensAtMs: nowMs,
      fillsFromMs: filledForMs === undefined ? undefined : nowMs - filledForMs,
    };
  }

  /**
   * Admits as many of the requests as the limit allows now.
   *
   * @param share part of all members that this owner reaches: on two sides of a cut, both together give out the rate once
   */
  take(request: RateRequest, share: number, nowMs: number): RateAnswer {
    const account = this.#accountOf(request, share, nowMs);
    const { requestId } = request;
    const previous = requestId && account.answered.get(requestId.client);
    if (previous && requestId.number <= previous.number) return previous.answer;
    const answer = this.#take(account, request, share, nowMs);
    if (requestId) account.answered.set(requestId.client, { number: requestId.number, answer });
    return answer;
  }

  #take(account: Account, request: RateRequest, share: number, nowMs: number): RateAnswer {
    if (request.limitVersion > account.limitVersion) {
      account.limit = request.limit;
      account.limitVersion = request.limitVersion;
    }
    account.lastRequestAtMs = nowMs;
    const perSecond = account.limit.perSecond * (share >= FULL_SHARE_THRESHOLD ? 1 : share);
    const limit = { perSecond, burst: account.limit.burst };
    const granted = account.bucket.take(request.wanted, limit, nowMs);
    return this.#answer(account, request.wanted - granted, granted, limit, nowMs);
  }

  /**
   * The owner before has ended, and admits nothing any more: buckets fill since then.
   *
   * @param endedMs by when it had ended
   */
  endOverlap(endedMs: number, nowMs: number): void {
    const { fillsFromMs } = this.#initialState;
    if (fillsFromMs === undefined || fillsFromMs <= nowMs) return;
    const sinceMs = Math.min(endedMs, nowMs);
    this.#initialState = { ...this.#initialState, fillsFromMs: sinceMs };
    for (const { bucket } of this.#accounts.values()) bucket.advanceFillStart(sinceMs);
  }

  /** What is left for the next owner. This one must admit nothing after it. */
  handOver(nowMs: number): RateHandOver {
    const { fillsFromMs } = this.#initialState;
    const tokens = new Map(this.#initialState.tokens);
    for (const [subject, { bucket, limit }] of this.#accounts)
      tokens.set(subject, bucket.tokens(limit, nowMs));
    return {
      tokens: [...tokens],
      filledForMs: fillsFromMs === undefined ? undefined : nowMs - fillsFromMs,
    };
  }

  /** Drops subjects that have long been silent. */
  forgetIdle(nowMs: number): void {
    for (const [subject, { lastRequestAtMs }] of this.#accounts)
      if (nowMs - lastRequestAtMs > IDLE_MS) this.#accounts.delete(subject);
  }

  #answer(account: Account, refused: number, granted: number, limit: RateLimit, nowMs: number): RateAnswer {
    if (refused === 0) return { granted, retryAfterMs: 0, retryStepMs: 0 };
    const retryStepMs = MS_PER_S / limit.perSecond;
    const earliestRetryAtMs = nowMs + account.bucket.waitMs(limit, nowMs);
    const afterPreviousMs = account.lastRetryAtMs + retryStepMs;
    // Nobody is told to wait for longer than a window: beyond it, times are given out once more from the start.
    const lastOfRefusedMs = afterPreviousMs + (refused - 1) * retryStepMs;
    const exceedsWindow = lastOfRefusedMs > nowMs + this.#tolerance.windowMs;
    const firstRetryAtMs = exceedsWindow ? earliestRetryAtMs : Math.max(earliestRetryAtMs, afterPreviousMs);
    account.lastRetryAtMs = firstRetryAtMs + (refused - 1) * retryStepMs;
    return { granted, retryAfterMs: firstRetryAtMs - nowMs, retryStepMs };
  }

  #accountOf({ subject, limit, limitVersion }: RateRequest, share: number, nowMs: number): Account {
    const known = this.#accounts.get(subject);
    if (known) return known;
    const bucket = this.#newBucket(subject, limit, share, nowMs);
    const account = {
      bucket,
      limit,
      limitVersion,
      lastRetryAtMs: 0,
      lastRequestAtMs: nowMs,
      answered: new Map(),
    };
    this.#accounts.set(subject, account);
    return account;
  }

  #newBucket(subject: string, limit: RateLimit, share: number, nowMs: number): TokenBucket {
    const { tokens, tokensAtMs, fillsFromMs } = this.#initialState;
    const left = tokens.get(subject);
    if (left !== undefined) return new TokenBucket(left, tokensAtMs);
    if (fillsFromMs === undefined) return new TokenBucket(Math.max(1, limit.burst) * share, nowMs);
    return new TokenBucket(this.#creditOf(limit) * share, fillsFromMs);
  }

  /** What may be admitted although the owner before may have admitted all that the limit allows. */
  #creditOf({ perSecond, burst }: RateLimit): number {
    const { windowMs, overage, slack } = this.#tolerance;
    const allowedInWindow = (perSecond * windowMs) / MS_PER_S + burst;
    return CREDIT_FRACTION * (allowedInWindow * overage + slack);
  }
}
