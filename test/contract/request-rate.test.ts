/**
 * Rate limits of tenants: what a single owner admits, and what several owners admit together when they follow one
 * another or are separated by a network partition.
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import { maxRequestsInWindow } from "../../bench/simulation/max-requests-in-window.ts";
import { windowCounts } from "../../bench/simulation/window-counts.ts";
import {
  type RateLimit,
  RateLimiter,
  type RateTolerance,
  TokenBucket,
} from "../../src/coordination/request-rate/index.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";

const TOLERANCE: RateTolerance = { windowMs: 5_000, overage: 0.1, slack: 20 };
const SMALL: RateLimit = { perSecond: 2, burst: 2 };
const LARGE: RateLimit = { perSecond: 60, burst: 60 };
const OVERLAP_MS = 2_000;

function request(wanted: number, limit: RateLimit, limitVersion = 1) {
  return { subject: "tenant", wanted, limit, limitVersion };
}

/** Returns the maximum number of requests that may be admitted in a window. */
function boundOf(limit: RateLimit): number {
  return maxRequestsInWindow(limit, TOLERANCE);
}

/** Returns the largest number of requests that were admitted in any window. */
function mostAdmitted(admittedAtMs: readonly number[]): number {
  return Math.max(0, ...windowCounts(admittedAtMs, TOLERANCE.windowMs).map(({ count }) => count));
}

describe("token bucket", () => {
  it("grants the refilled tokens, up to its capacity", () => {
    const bucket = new TokenBucket(0, 0);
    expect(bucket.take(5, LARGE, 0)).toEqual(0);
    expect(bucket.take(500, LARGE, 500)).toEqual(30);
    expect(bucket.take(500, LARGE, 60_000)).toEqual(60);
    expect(bucket.waitMs(LARGE, 60_000)).toEqual(1_000 / 60);
  });

  it("grants single tokens when the limit is below one per second", () => {
    const bucket = new TokenBucket(0, 0);
    const rare: RateLimit = { perSecond: 0.25, burst: 0 };
    expect([2_000, 4_000, 6_000, 8_000].map((atMs) => bucket.take(1, rare, atMs))).toEqual([0, 1, 0, 1]);
  });
});

describe("rate limiter with one owner", () => {
  for (const limit of [SMALL, LARGE]) {
    it(`admits all requests below the limit, ${limit.perSecond}/s`, () => {
      const limiter = new RateLimiter(TOLERANCE, RateLimiter.stateWithoutHandOver(0));
      const stepMs = 1_000 / (limit.perSecond * 0.9);
      for (let nowMs = 10_000; nowMs < 70_000; nowMs += stepMs)
        expect(limiter.take(request(1, limit), 1, nowMs).granted).toEqual(1);
    });

    it(`admits exactly the limit when more requests arrive, ${limit.perSecond}/s`, () => {
      const limiter = new RateLimiter(TOLERANCE, RateLimiter.stateWithoutHandOver(0));
      const random = new SeededRandomSource(1);
      const admitted: number[] = [];
      for (let nowMs = 10_000; nowMs < 70_000; nowMs += 1) {
        if (random.unit() >= (limit.perSecond * 7.5) / 1_000) continue;
        if (limiter.take(request(1, limit), 1, nowMs).granted === 1) admitted.push(nowMs);
      }
      expect(admitted.length >= 0.98 * 60 * limit.perSecond).toEqual(true);
      expect(mostAdmitted(admitted) <= boundOf(limit)).toEqual(true);
    });
  }

  it("admits a burst at once when there was no owner before", () => {
    const limiter = new RateLimiter({ ...TOLERANCE, overage: 0, slack: 0 }, RateLimiter.firstOwnerState());
    expect(limiter.take(request(LARGE.burst, LARGE), 1, 1_000).granted).toEqual(LARGE.burst);
    expect(limiter.take(request(1, LARGE), 1, 1_000).granted).toEqual(0);
    expect(limiter.take({ ...request(1, SMALL), subject: "other" }, 1, 1_000).granted).toEqual(1);
    const successor = new RateLimiter(
      { ...TOLERANCE, overage: 0, slack: 0 },
      RateLimiter.stateWithoutHandOver(1_000),
    );
    expect(successor.take(request(1, LARGE), 1, 1_000).granted).toEqual(0);
  });

  // Guards against retry times beyond a window, which many requests refused together could be given.
  it("assigns no retry time beyond a window to requests that are refused together", () => {
    const limiter = new RateLimiter(TOLERANCE, RateLimiter.stateWithoutHandOver(0));
    const limit = { perSecond: 10, burst: 5 };
    for (let nowMs = 1_000; nowMs < 6_000; nowMs += 150) {
      const { granted, retryAfterMs, retryStepMs } = limiter.take(request(14, limit), 1, nowMs);
      const longestMs = retryAfterMs + (14 - granted - 1) * retryStepMs;
      expect(longestMs).toBeLessThanOrEqual(TOLERANCE.windowMs);
    }
  });

  it("counts a repeated request once, and that of another client separately", () => {
    const limiter = new RateLimiter({ ...TOLERANCE, overage: 0, slack: 0 }, RateLimiter.firstOwnerState());
    const ask = (wanted: number, client: string, number: number) =>
      limiter.take({ ...request(wanted, LARGE), requestId: { client, number } }, 1, 1_000).granted;
    expect([ask(30, "a", 1), ask(30, "a", 1), ask(20, "b", 1)]).toEqual([30, 30, 20]);
    // A request that arrives after a later one of the same client is not counted.
    expect([ask(15, "a", 2), ask(30, "a", 1), ask(15, "a", 2), ask(15, "a", 3)]).toEqual([10, 10, 10, 0]);
  });

  it("assigns refused requests one retry time after the other, when tokens will be available", () => {
    const limiter = new RateLimiter(
      { ...TOLERANCE, overage: 0, slack: 0 },
      RateLimiter.stateWithoutHandOver(0),
    );
    expect(limiter.take(request(100, LARGE), 1, 1_000).granted).toEqual(60);
    const first = limiter.take(request(6, LARGE), 1, 1_000);
    expect([first.granted, Math.round(first.retryAfterMs), Math.round(first.retryStepMs)]).toEqual([
      0, 683, 17,
    ]);
    const second = limiter.take(request(1, LARGE), 1, 1_000);
    expect(Math.round(second.retryAfterMs)).toEqual(783);
    const returned = Array.from({ length: 6 }, (_, index) => {
      const atMs = 1_000 + first.retryAfterMs + index * first.retryStepMs;
      return limiter.take(request(1, LARGE), 1, atMs).granted;
    });
    expect(returned).toEqual([1, 1, 1, 1, 1, 1]);
  });

  it("adopts a lower limit of a newer configuration, and never returns to the older one", () => {
    const limiter = new RateLimiter(TOLERANCE, RateLimiter.stateWithoutHandOver(0));
    limiter.take(request(1, LARGE, 1), 1, 10_000);
    expect(limiter.take(request(100, SMALL, 2), 1, 10_001).granted).toEqual(2);
    expect(limiter.take(request(100, LARGE, 1), 1, 11_001).granted).toEqual(2);
  });

  it("removes idle subjects, whose buckets are full when they return", () => {
    const limiter = new RateLimiter(TOLERANCE, RateLimiter.stateWithoutHandOver(0));
    limiter.take(request(60, LARGE), 1, 10_000);
    limiter.forgetIdle(80_000);
    expect(limiter.take(request(100, LARGE), 1, 80_000).granted).toEqual(60);
  });
});

describe("rate limiter with several owners", () => {
  it("hands over the remaining tokens, so that a tenant notices no change", () => {
    const limits = { ...TOLERANCE, overage: 0, slack: 0 };
    const before = new RateLimiter(limits, RateLimiter.firstOwnerState());
    expect(before.take(request(45, LARGE), 1, 1_000).granted).toEqual(45);
    const handOver = before.handOver(1_100);
    const after = new RateLimiter(limits, RateLimiter.stateFromHandOver(handOver, 1_200));
    // 15 tokens remain, 6 are refilled in the 100 ms before the hand-over and 18 in the 300 ms after it.
    expect(after.take(request(60, LARGE), 1, 1_500).granted).toEqual(39);
    expect(after.take({ ...request(60, LARGE), subject: "silent so far" }, 1, 1_500).granted).toEqual(60);
  });

  it("ends the overlap when the previous owner is known to have ended", () => {
    const limits = { ...TOLERANCE, overage: 0, slack: 0 };
    const limiter = new RateLimiter(limits, RateLimiter.stateWithoutHandOver(3_000));
    expect(limiter.take(request(60, LARGE), 1, 1_200).granted).toEqual(0);
    limiter.endOverlap(1_000, 1_200);
    expect(limiter.take(request(60, LARGE), 1, 1_250).granted).toEqual(15);
    expect(limiter.take({ ...request(60, LARGE), subject: "silent so far" }, 1, 1_300).granted).toEqual(18);
    limiter.endOverlap(0, 1_300);
    expect(limiter.take(request(60, LARGE), 1, 1_300).granted).toEqual(3);
  });

  it("hands over an overlap that has not ended", () => {
    const limits = { ...TOLERANCE, overage: 0, slack: 0 };
    const before = new RateLimiter(limits, RateLimiter.stateWithoutHandOver(1_000));
    const early = new RateLimiter(limits, RateLimiter.stateFromHandOver(before.handOver(500), 600));
    expect(early.take(request(60, LARGE), 1, 1_100).granted).toEqual(0);
    expect(early.take(request(60, LARGE), 1, 1_600).granted).toEqual(30);
  });

  for (const limit of [SMALL, LARGE])
    for (const gapMs of [300, 1_200, 4_900])
      it(`stays within the limit when each owner hands over after ${gapMs} ms, ${limit.perSecond}/s`, () => {
        const limits = { ...TOLERANCE, overage: 0, slack: 0 };
        let limiter = new RateLimiter(limits, RateLimiter.firstOwnerState());
        let turn = 0;
        const admitted = admittedBy(limit, gapMs, (nowMs) => {
          const next = Math.floor(nowMs / gapMs);
          if (next !== turn)
            limiter = new RateLimiter(
              limits,
              RateLimiter.stateFromHandOver(limiter.handOver(nowMs - 20), nowMs),
            );
          turn = next;
          return [{ limiter, reached: 1 }];
        });
        expect(mostAdmitted(admitted) <= limit.perSecond * 5 + limit.burst).toEqual(true);
        expect(admitted.length >= 0.9 * 30 * limit.perSecond).toEqual(true);
      });

  /**
   * Sends requests at several times the limit, divided among the owners by their `reached` fractions. Returns the times
   * at which requests were admitted.
   */
  function admittedBy(
    limit: RateLimit,
    seed: number,
    owners: (nowMs: number) => readonly { readonly limiter: RateLimiter; readonly reached: number }[],
  ): number[] {
    const random = new SeededRandomSource(seed);
    const admitted: number[] = [];
    for (let nowMs = 10_000; nowMs < 40_000; nowMs += 1) {
      if (random.unit() >= (limit.perSecond * 7.5) / 1_000) continue;
      let place = random.unit();
      for (const { limiter, reached } of owners(nowMs)) {
        place -= reached;
        if (place >= 0) continue;
        if (limiter.take(request(1, limit), reached, nowMs).granted === 1) admitted.push(nowMs);
        break;
      }
    }
    return admitted;
  }

  for (const limit of [SMALL, LARGE])
    for (const gapMs of [300, 1_200, 2_500, 4_900, 8_000])
      it(`stays within the tolerance when each owner dies after ${gapMs} ms, ${limit.perSecond}/s`, () => {
        const limiters = new Map<number, RateLimiter>();
        const admitted = admittedBy(limit, gapMs, (nowMs) => {
          const turn = Math.floor(nowMs / gapMs);
          const limiter =
            limiters.get(turn) ??
            new RateLimiter(TOLERANCE, RateLimiter.stateWithoutHandOver(turn * gapMs + OVERLAP_MS));
          limiters.set(turn, limiter);
          return [{ limiter, reached: 1 }];
        });
        // The credit of three owners fits into a window; each further owner costs another third of the tolerance.
        const further = Math.max(0, Math.ceil(TOLERANCE.windowMs / gapMs) - 3);
        const credit = (boundOf(limit) - (limit.perSecond * 5 + limit.burst)) / 3;
        expect(mostAdmitted(admitted) <= boundOf(limit) + further * credit).toEqual(true);
      });

  for (const limit of [SMALL, LARGE])
    for (const reached of [0.1, 0.35, 0.6])
      it(`stays within the tolerance when one is cut off with ${reached} of the gateways, ${limit.perSecond}/s`, () => {
        const before = new RateLimiter(TOLERANCE, RateLimiter.stateWithoutHandOver(0));
        const after = new RateLimiter(TOLERANCE, RateLimiter.stateWithoutHandOver(20_000 + OVERLAP_MS));
        const admitted = admittedBy(limit, 1, (nowMs) => {
          if (nowMs < 18_500) return [{ limiter: before, reached: 1 }];
          // Neither side has detected the network partition yet; gateways on the other side find no owner.
          if (nowMs < 20_000) return [{ limiter: before, reached: 1 }];
          return [
            { limiter: before, reached },
            { limiter: after, reached: 1 - reached },
          ];
        });
        expect(mostAdmitted(admitted) <= boundOf(limit)).toEqual(true);
      });
});
