/** Mutations of how the end of a runner's answer is taken, and of what callers are told of it. */
import type { Mutation } from "./mutation.ts";

const CALLS = "src/gateway/calls";
const EXCHANGE = "src/gateway/ingress/caller-exchange.ts";
const SIMULATED = "test/simulation/answers.test.ts";
const PROCESSES = "test/process/answers-cut-short.test.ts";
const ENDLESS = "test/process/endless-answers.test.ts";

/** Replaces one text of a file; the script must fail then. */
function mutation(
  name: string,
  file: string,
  from: string,
  to: string,
  script: Mutation["script"],
): Mutation {
  return { guarantee: "answers", name: `answer: ${name}`, edits: [{ file, from, to }], script, args: [] };
}

export const ANSWER_MUTATIONS: readonly Mutation[] = [
  mutation(
    "a stream that ends inside an event is complete",
    `${CALLS}/streamed-call.ts`,
    'if (this.#reader.unfinishedBytes > 0) return "the answer ended inside an event";',
    "",
    SIMULATED,
  ),
  mutation(
    "a stream without an event is complete",
    `${CALLS}/streamed-call.ts`,
    "if (this.#eventCount === 0 && last === undefined)",
    "if (this.#eventCount < 0)",
    SIMULATED,
  ),
  mutation(
    "nobody is asked what follows an end between two events",
    `${CALLS}/streamed-call.ts`,
    'return framing === "connection" && canAsk',
    "return false && canAsk",
    SIMULATED,
  ),
  mutation(
    "a doubted end counts for every later one",
    `${CALLS}/streamed-call.ts`,
    "    this.#doubtedEnd = undefined;\n    this.#sendHead(head);",
    "    this.#sendHead(head);",
    SIMULATED,
  ),
  mutation(
    "an event that had begun is forgotten",
    `${CALLS}/streamed-call.ts`,
    "if (unfinishedBytes > 0) this.#unfinishedAfter = this.#lastEventId;",
    "",
    SIMULATED,
  ),
  mutation(
    "a plain answer without framing gets a length",
    `${CALLS}/routed-call.ts`,
    'else if (framing === "connection") this.exchange.answerUnframed(status, headers, body);',
    "",
    SIMULATED,
  ),
  mutation(
    "a safe call is not run again",
    `${CALLS}/buffered-call.ts`,
    'if (framing !== "connection" || status >= FIRST_FAILURE_STATUS) return false;',
    "if (status > 0) return false;",
    SIMULATED,
  ),
  mutation(
    "an uncertain answer is thrown away when another run fails",
    `${CALLS}/buffered-call.ts`,
    "if (this.#uncertain && !this.isOver) this.#answer(this.#uncertain);\n    else super",
    "super",
    SIMULATED,
  ),
  mutation(
    "an uncertain answer waits for a silent run",
    `${CALLS}/buffered-call.ts`,
    "const MAX_HELD_BACK_FRACTION = 0.5;",
    "const MAX_HELD_BACK_FRACTION = 2;",
    PROCESSES,
  ),
  mutation(
    "every pool's ends by the connection are doubted",
    "src/scheduling/runner-balancing/connection-ends.ts",
    "return (fraction.value ?? 0) >= USUAL_FROM_FRACTION;",
    "return false;",
    PROCESSES,
  ),
  mutation(
    "a connection without chunks ends in order when the answer breaks",
    EXCHANGE,
    "if (this.#endsWithConnection && socket)",
    "if (this.#endsWithConnection && socket && false)",
    SIMULATED,
  ),
  mutation(
    "unfinished answers end in order with the process",
    "src/gateway/gateway-daemon.ts",
    "this.#ingress.breakOffUnfinished();",
    "",
    PROCESSES,
  ),
  mutation(
    "an answer without a body gets a length",
    `${CALLS}/routed-call.ts`,
    'if (framing === "none") this.exchange.answerWithoutBody(status, headers);\n    else if',
    "if",
    PROCESSES,
  ),
  mutation(
    "a 304 that states a length is waited for",
    "src/ports/http/http-exchange.ts",
    'if (this.#framing === "none") this.#listener.onEnd();\n    else this',
    "this",
    PROCESSES,
  ),
  mutation(
    "a reset counts as the end of an answer without framing",
    "src/ports/http/connection-pool.ts",
    'if (error.code === "ECONNRESET") error.code = "CONNECTION_RESET";',
    "",
    PROCESSES,
  ),
  mutation(
    "a runner that cuts answers short is not charged with it",
    `${CALLS}/runner-attempt.ts`,
    "this.#fail(broken(defect));",
    'this.#finish("success");\n      this.#listener.onFailed({ type: "broken", detail: defect });',
    PROCESSES,
  ),
  mutation(
    "a doubted end is complete while runners are full",
    `${CALLS}/streamed-call.ts`,
    "if (this.#doubtedEnd?.mayWait(this.elapsedMs)) this.#askRunnersAgain();",
    "if (this.#doubtedEnd) void this.#complete(this.#doubtedEnd.head);",
    PROCESSES,
  ),
  mutation(
    "an event has no limit",
    `${CALLS}/stream-reader.ts`,
    "this.#splitter.rest.length > MAX_EVENT_BYTES",
    "this.#splitter.rest.length < 0",
    ENDLESS,
  ),
  mutation(
    "a failed stream has no limit",
    `${CALLS}/stream-reader.ts`,
    "this.#failure.length > MAX_FAILURE_BYTES",
    "this.#failure.length < 0",
    ENDLESS,
  ),
  mutation(
    "an unfinished event is searched from its start",
    `${CALLS}/event-splitter.ts`,
    "return Math.max(from, bytes.length - 1 - MAX_LOOK_AHEAD_BYTES);",
    "return Math.min(from, bytes.length);",
    "test/contract/byte-streams.test.ts",
  ),
  mutation(
    "what is not body has no limit",
    "src/ports/http/overhead-guard.ts",
    "return overhead > MAX_OVERHEAD_BYTES",
    "return overhead < -MAX_OVERHEAD_BYTES",
    ENDLESS,
  ),
  mutation(
    "an answer that was not run is read to its end",
    `${CALLS}/runner-attempt.ts`,
    'this.#fail({ type: "notRun", status: head.status });\n      return true;',
    "return true;",
    ENDLESS,
  ),
  mutation(
    "the rest of an answer that was not run has no limit",
    `${CALLS}/answer-drain.ts`,
    "if (this.#bytes <= MAX_BYTES) return;",
    "return;",
    "test/contract/byte-streams.test.ts",
  ),
];
