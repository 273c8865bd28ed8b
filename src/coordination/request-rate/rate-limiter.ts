/**
 * Rate limiting of many subjects by the single owner of their limits. When the owner changes, the new one doesn't know
 * what its predecessor has admitted, and a predecessor on the other side of a network partition may go on admitting
 * requests for a while. This period is called the overlap. A new owner therefore starts with a small credit, and its
 * buckets fill only after the overlap, when the predecessor must have noticed that it was replaced. The very first
 * owner starts with full buckets. An owner that takes over from one that shut down as planned continues with the
 * remaining tokens of its predecessor.
 *
 * Guarantee: in every window, all owners together stay within the limit and its tolerance, provided that a replaced
 * owner which is cut off admits no more than its share (see {@link RateLimiter.take}) from the end of the overlap on.
 *
 * Pure; times are in ms of a monotonic clock.
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
 * Fraction of the tolerance that a new owner may grant as credit when it reaches all members. The loss of an owner is
 * detected after a second or more, so at most three owners follow one another within a window of a few seconds.
 */
const CREDIT_FRACTION = 1 / 3;
/**
 * An owner that reaches at least this fraction of the members grants the full rate. The 5 % of the members that may be
 * out of reach then use up at most half of a tolerance of 10 %.
 */
const FULL_SHARE_THRESHOLD = 0.95;
/** A subject without requests for this long is removed: its bucket is full again. */
const IDLE_MS = 60_000;

/** The last request of a client, and its answer. */
interface AnsweredRequest {
  readonly number: number;
  readonly answer: RateAnswer;
}

interface Account {
  readonly bucket: TokenBucket;
  limit: RateLimit;
  /** Version of the configuration from which the limit was read. */
  limitVersion: number;
  /** The latest retry time that was assigned to a refused request. */
  lastRetryAtMs: number;
  lastRequestAtMs: number;
  /** Last answered requests by client. */
  readonly answered: Map<string, AnsweredRequest>;
}

/** A request to admit a number of requests of one subject. */
export interface RateRequest {
  readonly subject: string;
  readonly wanted: number;
  readonly limit: RateLimit;
  /** Version of the configuration from which the limit was read; the limit of a newer version replaces older ones. */
  readonly limitVersion: number;
  /**
   * Identifies the request: a repeated one gets the same answer again. Omitted by clients that never repeat requests.
   */
  readonly requestId?: RateRequestId | undefined;
}

/** Limits the request rates of many subjects, as the owner of their limits. */
export class RateLimiter {
  readonly #accounts = new Map<string, Account>();
  readonly #tolerance: RateTolerance;
  #initialState: InitialRateState;

  constructor(tolerance: RateTolerance, initialState: InitialRateState) {
    this.#tolerance = tolerance;
    this.#initialState = initialState;
  }

  /** Returns the initial state of the very first owner: all buckets are full. */
  static firstOwnerState(): InitialRateState {
    return { tokens: new Map(), tokensAtMs: 0, fillsFromMs: undefined };
  }

  /**
   * Returns the initial state of an owner to which nothing was handed over.
   *
   * @param overlapUntilMs time until which the previous owner may still admit requests
   */
  static stateWithoutHandOver(overlapUntilMs: number): InitialRateState {
    return { tokens: new Map(), tokensAtMs: 0, fillsFromMs: overlapUntilMs };
  }

  /** Returns the initial state of an owner that took over from one that shut down as planned. */
  static stateFromHandOver({ tokens, filledForMs }: RateHandOver, nowMs: number): InitialRateState {
    return {
      tokens: new Map(tokens),
      tokensAtMs: nowMs,
      fillsFromMs: filledForMs === undefined ? undefined : nowMs - filledForMs,
    };
  }

  /**
   * Admits as many of the wanted requests as the limit allows now.
   *
   * @param share fraction of all members that this owner reaches; owners on both sides of a network partition together
   * grant the rate only once
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
   * Ends the overlap early, because the previous owner is known to have ended: buckets fill from that time on.
   *
   * @param endedMs time by which the previous owner had ended
   */
  endOverlap(endedMs: number, nowMs: number): void {
    const { fillsFromMs } = this.#initialState;
    if (fillsFromMs === undefined || fillsFromMs <= nowMs) return;
    const sinceMs = Math.min(endedMs, nowMs);
    this.#initialState = { ...this.#initialState, fillsFromMs: sinceMs };
    for (const { bucket } of this.#accounts.values()) bucket.advanceFillStart(sinceMs);
  }

  /** Returns the state for the next owner. This owner must admit nothing afterwards. */
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

  /** Removes subjects that have sent no requests for a long time. */
  forgetIdle(nowMs: number): void {
    for (const [subject, { lastRequestAtMs }] of this.#accounts)
      if (nowMs - lastRequestAtMs > IDLE_MS) this.#accounts.delete(subject);
  }

  #answer(account: Account, refused: number, granted: number, limit: RateLimit, nowMs: number): RateAnswer {
    if (refused === 0) return { granted, retryAfterMs: 0, retryStepMs: 0 };
    const retryStepMs = MS_PER_S / limit.perSecond;
    const earliestRetryAtMs = nowMs + account.bucket.waitMs(limit, nowMs);
    const afterPreviousMs = account.lastRetryAtMs + retryStepMs;
    // No retry time is later than a window: beyond it, retry times start again from the earliest possible one.
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

  /** Tokens that a new owner may grant even if the previous owner has granted everything that the limit allows. */
  #creditOf({ perSecond, burst }: RateLimit): number {
    const { windowMs, overage, slack } = this.#tolerance;
    const allowedInWindow = (perSecond * windowMs) / MS_PER_S + burst;
    return CREDIT_FRACTION * (allowedInWindow * overage + slack);
  }
}
