import type { RunnerId } from "../ids/runner-id.ts";

/** Load and failure rate of runners, over the requests of all gateways. */
export interface RunnerLoads {
  /** Number of requests in flight. */
  load(runner: RunnerId): number;
  /** Fraction of the requests of the last seconds that failed, from 0 to 1. */
  failureRate(runner: RunnerId, nowMs: number): number;
}
