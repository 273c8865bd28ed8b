import type { RequestFingerprint } from "../ids/request-fingerprint.ts";
import type { RequestId } from "../ids/request-id.ts";
import type { RunnerId } from "../ids/runner-id.ts";

/** A run that is about to be made of a request under which runners have ended. */
export interface SuspectRun {
  readonly fingerprint: RequestFingerprint;
  /** The caller's try that it belongs to. A try has one run at a time. */
  readonly request: RequestId;
  readonly runner: RunnerId;
  /** Runners that have ended under this try. */
  readonly lost: readonly RunnerId[];
  /** How long the run may last, in ms. */
  readonly leaseMs: number;
  /** Whether the request has waited long enough to share a runner with other suspects, unless it is its last run. */
  readonly acceptsShared: boolean;
  /** Whether the request has waited as long as it can for a runner of its own and for calm. */
  readonly isOverdue: boolean;
}

/** How a run of a suspect has ended whose runner has not. */
export type SuspectOutcome =
  /** It was run from its start to its end. */
  "whole" | "unknown";
