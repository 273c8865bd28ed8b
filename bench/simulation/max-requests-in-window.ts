import type { RateLimit, RateTolerance } from "../../src/coordination/request-rate/index.ts";

const MS_PER_S = 1_000;

/** The largest number of requests that a limit allows in a window, including the tolerance. */
export function maxRequestsInWindow({ perSecond, burst }: RateLimit, tolerance: RateTolerance): number {
  const { windowMs, overage, slack } = tolerance;
  return ((perSecond * windowMs) / MS_PER_S + burst) * (1 + overage) + slack;
}
