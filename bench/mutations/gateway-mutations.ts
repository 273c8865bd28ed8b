/** Deliberate breaks of gateways. */
import type { Mutation } from "./mutation.ts";

const script = "bench/simulate-gateways.ts";

export const GATEWAY_MUTATIONS: readonly Mutation[] = [
  {
    promise: "budget",
    name: "gateway: a grant leaves before the store knows of it",
    edits: [
      {
        file: "src/gateway/partitions/owned-partition.ts",
        from: "if (account.holds(grant.revision)) return Promise.resolve(true);",
        to: 'if (grant.type === "granted") return Promise.resolve(true);',
      },
    ],
    script,
    args: ["--faults", "kill-all"],
  },
  {
    promise: "budget",
    name: "gateway: what a lost owner had set aside is granted again",
    edits: [
      {
        file: "src/coordination/token-account/token-account.ts",
        from: "(stored?.settled ?? 0) + (stored?.ahead ?? 0)",
        to: "stored?.settled ?? 0",
      },
    ],
    script,
    args: ["--faults", "kill-all"],
  },
  {
    promise: "budget",
    name: "gateway: an owner's writes carry no condition",
    edits: [
      {
        file: "src/gateway/partitions/partition-writer.ts",
        from: "const conditions = [{ ...key, version: this.#version }];",
        to: "const conditions = [{ ...key, version: this.#version }].slice(1);",
      },
    ],
    script,
    args: ["--faults", "late-writes,kill-all"],
  },
  {
    promise: "history",
    name: "gateway: only the program's own partition is asked for a turn",
    edits: [
      {
        file: "src/gateway/partitions/retained-turns.ts",
        from: 'own.type === "found" ? own : await this.#findElsewhere(turn)',
        to: "own",
      },
    ],
    script,
    args: ["--faults", "kill"],
  },
  {
    promise: "history",
    name: "gateway: an answer ends before its turn is in the store",
    edits: [
      {
        file: "src/gateway/partitions/owned-partition.ts",
        from: "if (!(await this.#writer.writeTurn(turn, retained, request.program, account))) return MOVED;",
        to: "void this.#writer.writeTurn(turn, retained, request.program, account);",
      },
    ],
    script,
    args: ["--faults", "store-silent,kill-all"],
  },
  {
    promise: "configuration",
    name: "gateway: a dropped history is not read anew",
    edits: [
      {
        file: "src/gateway/configuration/table-follower.ts",
        from: 'if (outcome.type === "historyGone") return false;',
        to: "",
      },
    ],
    script,
    args: ["--faults", "history-dropped"],
  },
  {
    promise: "recovery",
    name: "gateway: a row whose owner is alive is never taken over",
    edits: [
      {
        file: "src/gateway/partitions/partition-host.ts",
        from: "if (isDoubtful && (await this.#isWritten(partition, row))) return undefined;",
        to: "if (isDoubtful) return undefined;",
      },
    ],
    script,
    args: ["--faults", "lost-answers,store-silent"],
  },
];
