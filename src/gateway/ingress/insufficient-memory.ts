import type { ProblemResponse } from "./problem-response.ts";

/**
 * The answer when there is no memory for a request. Only this gateway is short of memory, so the retry delay is the time to
 * open a new connection, which is likely to lead to another gateway.
 */
export const INSUFFICIENT_MEMORY: ProblemResponse = {
  status: 503,
  kind: "memory-short",
  detail: "This gateway has no memory for the request.",
  retryAfterMs: 150,
};
