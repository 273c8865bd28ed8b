import type { IntendCall } from "./commands.ts";
import type { CallRecord } from "./records.ts";

/** Creates the record of a call from its committed intent. */
export function callRecordOf(command: IntendCall): CallRecord {
  return {
    id: command.call,
    number: command.number,
    requestHash: command.requestHash,
    request: command.request,
    repeatable: command.repeatable,
    attempt: 1,
    executor: command.executor,
    reservation: command.reservation,
    startedAtMs: command.atMs,
    endedAtMs: undefined,
    outcome: undefined,
    decision: undefined,
  };
}
