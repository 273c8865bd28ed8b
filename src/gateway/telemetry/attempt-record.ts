import type { BodyFraming } from "../../ports/http/body-framing.ts";
import type { RunnerCondition } from "../runners/runner-end-detector.ts";

/** One attempt to run a call at a runner. */
export interface AttemptRecord {
  readonly runner: string;
  /** Known requests in flight at the runner when it was chosen. */
  readonly load: number;
  /** Fraction of the runner's requests in the last seconds that failed, 0 to 1. */
  readonly failureRate: number;
  /** Software version of the runner by the entry that the gateway had when it sent the request. */
  readonly version: string;
  /** Expected duration in ms; undefined if runners are chosen by load. */
  readonly expectedMs?: number;
  /** Time from the arrival of the call until the attempt started, in ms. */
  readonly atMs: number;
  /** Duration of the attempt in ms; undefined while it is in progress. */
  elapsedMs?: number;
  /** What tells the end of the runner's answer; undefined if no answer has begun. */
  framing?: BodyFraming;
  /** Id of the last event that the caller has; undefined if it has none, or if the answer is no stream. */
  lastEvent?: number;
  /** Bytes of an unfinished event at the end of the runner's answer; undefined if there were none. */
  unfinishedBytes?: number;
  /** Set if the answer ended with its connection, and another run is asked whether it was whole. */
  endDoubted?: true;
  /** Whether the process of a runner that broke off its answer has ended; undefined until that is known. */
  runnerCondition?: RunnerCondition;
  /** Why the attempt gave no answer. */
  failure?: string;
}
