import type { Alternative } from "../../scheduling/decision/decision.ts";
import type { CompletionRequest } from "../../scheduling/program/records.ts";
import type { CallJob } from "./call-job.ts";

/** Time to come back when nothing better is known, in ms. */
export const DEFAULT_RETRY_AFTER_MS = 2_000;

/** A completion to be carried out. */
export type CompletionJob = CallJob<CompletionRequest>;

/** What is remembered while a completion is carried out. */
export interface CompletionProgress {
  attempt: number;
  /** Time spent waiting for slots, in ms. */
  waitedMs: number;
  /** Time spent at engines, in ms. */
  serviceMs: number;
  /** The runners that were weighed last, best first. */
  alternatives: readonly Alternative[];
  /** Runners that have refused this completion, or broken it off. */
  readonly excluded: Set<string>;
  retryAfterMs: number;
}
