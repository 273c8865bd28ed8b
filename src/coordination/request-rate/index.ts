export type { InitialRateState } from "./initial-rate-state.ts";
export type { RateAnswer } from "./rate-answer.ts";
export type { RateHandOver } from "./rate-hand-over.ts";
export type { RateLimit } from "./rate-limit.ts";
export { RateLimiter, type RateRequest } from "./rate-limiter.ts";
export type { RateTolerance } from "./rate-tolerance.ts";
export { TokenBucket } from "./token-bucket.ts";
