import type { CallContext } from "../../ports/call-protocol.ts";
import { loggedIdentifier } from "../telemetry/logged-identifier.ts";
import type { ResumedStreamRecord } from "../telemetry/resumed-stream-record.ts";
import type { ResumedStream } from "./resumed-stream.ts";

/** Describes the stream that a caller takes up, for the log; undefined for other calls. */
export function resumedStreamRecordOf(
  { lastEventId, resumes }: CallContext,
  resumed: ResumedStream | undefined,
): ResumedStreamRecord | undefined {
  if (lastEventId === undefined) return undefined;
  const found = resumed === undefined ? {} : { version: resumed.version, knownBy: resumed.knownBy };
  return { request: resumes && loggedIdentifier(resumes), lastEventId, ...found };
}
