import type { ProblemResponse } from "./problem-response.ts";

/** The answer to a request that a stopping gateway may have no time for. Other gateways accept it at once. */
export const STOPPING: ProblemResponse = {
  status: 503,
  kind: "stopping",
  detail: "This gateway stops before the time of the request is over.",
  retryAfterMs: 50,
  closesConnection: true,
};
