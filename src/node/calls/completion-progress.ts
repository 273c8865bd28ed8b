import type { Alternative } from "../../scheduling/decision/decision.ts";
import type { CompletionRequest } from "../../scheduling/program/records.ts";
import type { CallJob } from "./call-job.ts";

/** Retry-after time for callers when no better estimate is known, in ms. */
export const DEFAULT_RETRY_AFTER_MS = 2_000;

/** A completion to execute. */
export type CompletionJob = CallJob<CompletionRequest>;

/** The state of a completion in progress, across its attempts. */
export interface CompletionProgress {
  attempt: number;
  /** Time spent waiting for slots, in ms. */
  waitedMs: number;
  /** Time spent at engines, in ms. */
  serviceMs: number;
  /** The runners compared in the last placement, best first. */
  alternatives: readonly Alternative[];
  /** Runners that refused this completion, failed during it, or whose home did not grant a slot. */
  readonly excluded: Set<string>;
  retryAfterMs: number;
}
