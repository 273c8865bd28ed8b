import type { AdmissionRecord } from "../../gateway/telemetry/admission-record.ts";
import type { AttemptRecord } from "../../gateway/telemetry/attempt-record.ts";
import type { RateRecord } from "../../gateway/telemetry/rate-record.ts";
import type { RetentionRecord } from "../../gateway/telemetry/retention-record.ts";
import type { TimedPlaceRecord } from "../../gateway/telemetry/timed-place-record.ts";
import type { LogEntry } from "./log-entry.ts";

/** The log line that a gateway writes when a call has ended. */
export interface CallEntry extends LogEntry {
  readonly request: string;
  readonly program?: string;
  readonly route: string;
  readonly configuration: number;
  /** Tenant that made the call. */
  readonly tenant?: string;
  readonly rate?: RateRecord;
  readonly status: number;
  readonly kind: string;
  readonly detail?: string;
  readonly elapsedMs: number;
  readonly firstByteMs?: number;
  readonly admission?: AdmissionRecord;
  readonly places?: readonly TimedPlaceRecord[];
  readonly retention?: RetentionRecord;
  readonly tries?: readonly AttemptRecord[];
}

/** Whether a log line reports the end of a call. */
export function isCallEntry(entry: LogEntry): entry is CallEntry {
  return entry.msg === "call answered" || entry.msg === "call failed";
}
