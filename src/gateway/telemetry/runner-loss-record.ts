import type { RequestFingerprint } from "../../scheduling/ids/request-fingerprint.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";

/** A runner that has ended while it ran a request. */
export interface RunnerLossRecord {
  readonly runner: RunnerId;
  /** The try that it ran. */
  readonly request: RequestId;
  /** The content of the request, the same in each of its tries. */
  readonly fingerprint: RequestFingerprint;
}
