import type { RunnerId } from "../ids/runner-id.ts";

/** What is known of the requests at runners, of all nodes together. */
export interface RunnerLoads {
  /** Requests under way. */
  load(runner: RunnerId): number;
  /** Part of the requests of the last seconds that failed, 0 to 1. */
  failureRate(runner: RunnerId, nowMs: number): number;
}
