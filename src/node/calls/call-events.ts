import { problemOf } from "../../errors/tulipwheel-error.ts";
import type { CallEvent } from "../../messages/call-messages.ts";
import type { CallOutcome, CallRecord, ProgramRecord } from "../../scheduling/program/records.ts";

/** Returns the event that reports the outcome of a call; undefined if the call has none yet. */
export function finalEventOf(call: CallRecord): CallEvent | undefined {
  return call.outcome && eventOfOutcome(call.id, call.number, call.outcome);
}

/** Returns the event that reports an outcome. */
export function eventOfOutcome(call: string, number: number, outcome: CallOutcome): CallEvent {
  if (outcome.type === "failed") return { type: "callFailed", call, problem: outcome.problem };
  return { type: "callFinished", call, number, answer: outcome.answer };
}

/** Returns the event that reports the refusal of a call; undefined if it was not refused. */
export function refusalEventOf(program: ProgramRecord, call: string): CallEvent | undefined {
  const refusal = program.refusals.find((record) => record.id === call);
  if (refusal) return { type: "callFailed", call, problem: refusal.problem };
  if (!program.refusedCalls.includes(call)) return undefined;
  const problem = problemOf("unavailable", `Call ${call} was refused earlier; the reason is no longer kept.`);
  return { type: "callFailed", call, problem };
}
