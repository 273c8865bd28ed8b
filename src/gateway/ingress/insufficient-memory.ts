import type { ProblemResponse } from "./problem-response.ts";

/**
 * There is no memory for a request. The shortage is this gateway's alone, so that the time to come back is that of a new
 * connection, which is likely to lead to another one.
 */
export const INSUFFICIENT_MEMORY: ProblemResponse = {
  status: 503,
  kind: "memory-short",
  detail: "This gateway has no memory for the request.",
  retryAfterMs: 150,
};
