/** Compares what callers saw with what the runners of their calls answered. */
import { parseAnswers, type RawAnswer } from "../../../standins/http/raw-answer.ts";
import type { AnswerObservations } from "./answer-observations.ts";
import type { DrawnRun } from "./drawn-run.ts";
import type { ObservedConnection } from "./observed-connection.ts";
import { MAX_BROKEN_RUNS, type SimulatedCall } from "./simulated-call.ts";

const OK = 200;

/** Checks the answers on one connection, and counts them. */
export function checkAnswers(
  { connection, calls }: ObservedConnection,
  observations: AnswerObservations,
): void {
  const { received, isReset, hasEnded } = connection;
  const methods = calls.map(() => "POST");
  const { answers } = parseAnswers(received, methods, isReset || !hasEnded);
  answers.forEach((answer, index) => {
    const call = calls[index];
    if (call) checkAnswer(call, answer, observations);
  });
  for (const call of calls) checkRetained(call, observations);
}

function checkAnswer(call: SimulatedCall, answer: RawAnswer, observations: AnswerObservations): void {
  const { violations } = observations;
  const fail = (text: string) =>
    violations.push(
      `${call.id} on ${call.version}: ${text}: ${JSON.stringify({ ...answer, runs: call.runs })}`,
    );
  observations.calls += 1;
  if (answer.status !== OK) {
    if (answer.end === "broken") fail("a failure is broken off");
    if (!call.isStream && call.runs.some(endsByConnection)) fail("an answer was thrown away");
    observations.broken += 1;
    return;
  }
  if (call.isStream) checkStream(call, answer, observations, fail);
  else checkPlain(call, answer, observations, fail);
  if (call.route.kind === "unsafe" && call.runs.length > 1) fail("it ran more than once");
}

function endsByConnection({ isUnframed, end }: DrawnRun): boolean {
  return isUnframed && end !== "reset";
}

function checkStream(
  call: SimulatedCall,
  { body, end }: RawAnswer,
  observations: AnswerObservations,
  fail: (text: string) => void,
): void {
  const whole = call.parts.join("");
  const events = call.parts.filter(
    (_, index) => body.length >= call.parts.slice(0, index + 1).join("").length,
  );
  if (!whole.startsWith(body)) fail("bytes that its runners did not send in this order");
  if (end === "framed" && call.version === "1.0") fail("chunks for a caller that knows none");
  if (end === "broken") {
    observations.broken += 1;
    if (call.route.resumable) fail("it did not go on at a run that is whole");
    return;
  }
  if (body !== events.join("")) fail("complete inside an event");
  else if (!call.mayLookComplete(events.length)) fail("complete, and is not");
  if (body === whole) observations.whole += 1;
  else observations.unseen += 1;
}

function checkPlain(
  call: SimulatedCall,
  { body, end }: RawAnswer,
  observations: AnswerObservations,
  fail: (text: string) => void,
): void {
  const whole = call.parts.join("");
  if (!whole.startsWith(body)) fail("bytes that its runner did not send");
  if (end === "framed" && body !== whole) fail("complete, and is not");
  if (end === "broken") fail("broken off by the gateway");
  const mustBeCertain = call.route.kind === "safe" && call.route.maxAttempts > MAX_BROKEN_RUNS;
  if (mustBeCertain && end === "connection" && body !== whole) fail("uncertain, although a run was whole");
  if (end === "framed") observations.whole += 1;
  else observations.uncertain += 1;
}

function checkRetained(call: SimulatedCall, { violations }: AnswerObservations): void {
  const { retained } = call;
  if (retained === undefined || retained === call.output) return;
  const events = retained.split("\n").length - 1;
  if (!call.output.startsWith(retained) || !call.mayLookComplete(events))
    violations.push(
      `${call.id}: the turn ${JSON.stringify(retained)} was kept: ${JSON.stringify(call.runs)}`,
    );
}
