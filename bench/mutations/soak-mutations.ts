/** Mutations of gateways that the soak must detect from what callers and runners observe. */
import type { Mutation } from "./mutation.ts";

const script = "test/soak/main.ts";

export const SOAK_MUTATIONS: readonly Mutation[] = [
  {
    guarantee: "budget",
    name: "soak: a grant is sent before it is stored",
    edits: [
      {
        file: "src/gateway/partitions/owned-partition.ts",
        from: 'if (account.isRevisionStored(grant.revision)) return Promise.resolve("recorded");',
        to: 'if (grant.type === "granted") return Promise.resolve("recorded");',
      },
    ],
    script,
    args: ["--faults", "storeThenKilled"],
  },
  {
    guarantee: "at most once",
    name: "soak: a call that is not repeatable runs again",
    edits: [
      {
        file: "src/gateway/calls/buffered-call.ts",
        from: 'const mayRepeat = this.route.kind === "safe" && this.mayHaveRun.size < this.route.maxAttempts;',
        to: "const mayRepeat = this.mayHaveRun.size < 2;",
      },
    ],
    script,
    args: ["--faults", "runner"],
  },
  {
    guarantee: "accurate refusals",
    name: "soak: a call without an answer is reported as not run",
    edits: [
      {
        file: "src/gateway/calls/buffered-call.ts",
        from: "return void this.whenChecked(() => this.failWithUnknownOutcome(detail));",
        to: 'return void this.whenChecked(() => this.refuse("overloaded", detail));',
      },
    ],
    script,
    args: ["--faults", "runner"],
  },
  {
    guarantee: "complete answers",
    name: "soak: an answer is accepted whatever its request id",
    edits: [
      {
        file: "src/gateway/calls/runner-attempt.ts",
        from: "if (answer.requestId !== this.#request.call.requestId) {",
        to: "if (answer.requestId === undefined) {",
      },
    ],
    script,
    args: ["--faults", "runner"],
  },
  {
    guarantee: "history",
    name: "soak: an answer ends before its turn is stored",
    edits: [
      {
        file: "src/gateway/partitions/partition-client.ts",
        from: "return this.#host.storeTurn(turn, content, timeoutMs);",
        to: "return Promise.resolve(true || this.#host.storeTurn(turn, content, timeoutMs));",
      },
    ],
    script,
    args: ["--faults", "storeThenKilled"],
  },
];
