/** Mutations of what keeps a request from ending more runners than it may, and of what spares the requests beside it. */
import type { Mutation } from "./mutation.ts";

const TABLE = "src/scheduling/poison-requests/suspect-table.ts";
const GUARD = "src/gateway/poison-requests/poison-guard.ts";
const ROUTED = "src/gateway/calls/routed-call.ts";
const CONTRACT = "test/contract/poison-requests.test.ts";
const SIMULATED = "test/simulation/poison-requests.test.ts";
const PROCESSES = "test/process/runners-that-end.test.ts";

/** Replaces one text of a file; the script must fail then. */
function mutation(
  name: string,
  file: string,
  from: string,
  to: string,
  script: Mutation["script"],
): Mutation {
  return { guarantee: "poison", name: `poison: ${name}`, edits: [{ file, from, to }], script, args: [] };
}

export const POISON_MUTATIONS: readonly Mutation[] = [
  mutation(
    "one more runner may end",
    TABLE,
    "export const MAX_LOST_RUNNERS = 3;",
    "export const MAX_LOST_RUNNERS = 4;",
    SIMULATED,
  ),
  mutation(
    "runs in progress do not count",
    TABLE,
    "if (lost.length + ownRuns >=",
    "if (lost.length >=",
    CONTRACT,
  ),
  mutation(
    "the runner that a try went on to is released with the one before",
    TABLE,
    "if (this.#runs.get(request)?.runner === runner) this",
    "this",
    CONTRACT,
  ),
  mutation(
    "requests whose runners were killed together are kept apart",
    "src/scheduling/poison-requests/ended-runners.ts",
    "const MIN_TOGETHER = 3;",
    "const MIN_TOGETHER = 9;",
    CONTRACT,
  ),
  mutation(
    "any two ends count as one kill",
    "src/scheduling/poison-requests/ended-runners.ts",
    "const MIN_TOGETHER = 3;",
    "const MIN_TOGETHER = 2;",
    CONTRACT,
  ),
  mutation(
    "suspects share runners",
    TABLE,
    "if (taken.includes(runner)) return",
    "if (taken.length > 99) return",
    CONTRACT,
  ),
  mutation(
    "the last run does not wait for calm",
    TABLE,
    "if (isLast && !run.isOverdue && ",
    "if (false && ",
    CONTRACT,
  ),
  mutation(
    "a request stays a suspect after a whole run",
    GUARD,
    'if (outcome === "whole") this.onCleared({ type: "suspectCleared", pool, fingerprint });',
    "",
    PROCESSES,
  ),
  mutation(
    "runners that ended before a whole run count again when they are reported again",
    "src/scheduling/poison-requests/suspect.ts",
    "if (!this.#excused.has(runner)) this",
    "this",
    CONTRACT,
  ),
  mutation(
    "only the holders are told that a request is no suspect any more",
    GUARD,
    "if (wasAnnounced && this.#isAmongFirst(cleared.pool, ANNOUNCING_HOLDERS)) this.#tellAll(cleared);",
    "",
    SIMULATED,
  ),
  mutation(
    "suspects are kept until the next one",
    TABLE,
    "isEmpty(nowMs: number): boolean {\n    this.#dropExpired(nowMs);",
    "isEmpty(_nowMs: number): boolean {",
    CONTRACT,
  ),
  mutation("nobody remembers for others", GUARD, "const HOLDERS = 3;", "const HOLDERS = 0;", SIMULATED),
  mutation("one gateway remembers alone", GUARD, "const HOLDERS = 3;", "const HOLDERS = 1;", PROCESSES),
  mutation(
    "gateways are not told of suspects",
    GUARD,
    "const ANNOUNCING_HOLDERS = 2;",
    "const ANNOUNCING_HOLDERS = 0;",
    SIMULATED,
  ),
  mutation(
    "the caller is answered before others know of the end",
    GUARD,
    'if (condition === "ended") await this.#reportLoss(run);',
    'if (condition === "ended") setTimeout(() => void this.#reportLoss(run), 20);',
    PROCESSES,
  ),
  mutation(
    "a runner that ended without a sign is never counted",
    GUARD,
    "for (const run of this.#unconfirmed.take(runner, this.#nowMs)) void this.#reportLoss(run);",
    "this.#unconfirmed.take(runner, this.#nowMs);",
    PROCESSES,
  ),
  mutation(
    "every try begins anew",
    ROUTED,
    "if (this.#runs.isSuspect) void this.#admit(runner, send);",
    "if (this.#runs.isSuspect && false) void this.#admit(runner, send);",
    PROCESSES,
  ),
  mutation(
    "a poison request is refused as not run",
    ROUTED,
    'this.fail(BAD_GATEWAY, "poison-request", detail);',
    'this.fail(UNAVAILABLE, "poison-request", detail);',
    PROCESSES,
  ),
  mutation(
    "a suspect is refused as not run",
    ROUTED,
    "if (this.#runs.isSuspect) this.failWithUnknownOutcome(detail);\n    else",
    "",
    PROCESSES,
  ),
  mutation(
    "a runner that is full leaves the count of its stream",
    "src/gateway/calls/streamed-call.ts",
    "board.isListed(id) && !this.gone.has(id)",
    "board.isListed(id) && !this.excluded.has(id)",
    PROCESSES,
  ),
  mutation(
    "a reset connection counts as the end of its runner",
    "src/gateway/runners/runner-end-detector.ts",
    'return probe === "accepted" ? "running" : "unknown";',
    'return "ended";',
    PROCESSES,
  ),
  mutation(
    "the identifier of a try is part of the fingerprint",
    "src/gateway/poison-requests/fingerprint-of.ts",
    "const parts = [method, target,",
    "const parts = [call.requestId, method, target,",
    CONTRACT,
  ),
];
