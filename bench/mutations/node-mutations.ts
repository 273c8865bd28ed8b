/** Mutations of nodes. */
import type { Mutation } from "./mutation.ts";

export const NODE_MUTATIONS: readonly Mutation[] = [
  {
    guarantee: "call order",
    name: "call numbers are ignored",
    edits: [
      {
        file: "src/node/calls/call-admission.ts",
        from: "number: submit.number ?? program.nextNumber",
        to: "number: program.nextNumber",
      },
      {
        file: "src/node/calls/program-queue.ts",
        from: "submit.number <= nextNumber",
        to: "submit.number > 0",
      },
      {
        file: "src/node/calls/call-service.ts",
        from: "submit.number >= program.nextNumber",
        to: "submit.number > 0",
      },
    ],
    script: "bench/simulate.ts",
    args: ["--faults", "none"],
  },
  {
    guarantee: "history",
    name: "an entry commits once a single replica has it",
    edits: [
      {
        file: "src/coordination/shard-group/leadership.ts",
        from: "matchIndexes[majoritySize(this.#state.membership.current) - 1] ?? 0",
        to: "matchIndexes[0] ?? 0",
      },
      {
        file: "src/coordination/shard-group/leadership.ts",
        from: "for (const progress of this.#state.followers.values()) this.#sendEntries(progress, nowMs);\n    this.#advanceCommit",
        to: "this.#advanceCommit",
      },
    ],
    script: "bench/simulate.ts",
    args: ["--faults", "kill-node"],
  },
  {
    guarantee: "budget",
    name: "the ledger ignores outstanding loans",
    edits: [
      {
        file: "src/coordination/budget-escrow/budget-ledger.ts",
        from: "limit - this.outstanding(budget)",
        to: "limit",
      },
    ],
    script: "bench/simulate.ts",
    args: ["--faults", "kill-node", "--budget", "9000"],
  },
  {
    guarantee: "engine memory",
    name: "cache holds are neither released when a program ends nor swept",
    edits: [
      {
        file: "src/node/programs/program-service.ts",
        from: 'if (home) this.#context.transport.send(home, { type: "releaseProgram", runner, program: program.id });',
        to: "if (!home) return;",
      },
      {
        file: "src/node/runners/hold-sweeper.ts",
        from: "if (this.#sweeping) return;",
        to: "if (!this.#sweeping) return;",
      },
    ],
    script: "bench/simulate.ts",
    args: ["--faults", "kill-node,kill-engine"],
  },
  {
    guarantee: "complete answers",
    name: "duplicate chunks of an answer are not removed",
    edits: [
      {
        file: "src/node/ingress/call-session.ts",
        from: "text.slice(this.#received.length - offset)",
        to: "text",
      },
      {
        file: "src/node/ingress/call-session.ts",
        from: "if (offset + text.length <= this.#received.length) return;",
        to: "",
      },
    ],
    script: "bench/simulate.ts",
    args: ["--faults", "network-duplicates"],
  },
  {
    guarantee: "accurate refusals",
    name: "a call is reported as not run after a timeout",
    edits: [
      {
        file: "src/node/calls/service-call-executor.ts",
        from: '  return problemOf("outcome-unknown", detail);\n}',
        to: '  return problemOf("outcome-unknown", detail, { outcome: "not-run" });\n}',
      },
    ],
    script: "bench/simulate.ts",
    args: ["--faults", "service-hangs"],
  },
  {
    guarantee: "at most once",
    name: "a new leader repeats calls that are not repeatable",
    edits: [
      {
        file: "src/node/calls/call-executor.ts",
        from: "if (takenOver && !job.record.repeatable)",
        to: "if (takenOver && job.record.attempt > 99)",
      },
    ],
    script: "bench/simulate.ts",
    args: ["--faults", "kill-node,isolate-node,service-hangs"],
  },
  {
    guarantee: "draining back ends",
    name: "runner homes ignore the machine list",
    edits: [
      {
        file: "src/node/runners/runner-home.ts",
        from: 'this.#machine.state === "leaving" || this.#engineLeaving',
        to: "this.#engineLeaving",
      },
      {
        file: "src/node/runners/runner-directory.ts",
        from: 'machine.state === "leaving" || (known?.load.leaving ?? false)',
        to: "known?.load.leaving ?? false",
      },
    ],
    script: "bench/simulate.ts",
    args: ["--faults", "engine-leaves"],
  },
  {
    guarantee: "planned shutdown",
    name: "a node stops without waiting for replicas and active calls",
    edits: [
      {
        file: "src/node/node-daemon.ts",
        from: "(this.#hasReplicas() || this.calls.activeCalls > 0)",
        to: "clock.monotonicMs() < 0",
      },
    ],
    script: "bench/simulate.ts",
    args: ["--faults", "drain-node"],
  },
  {
    guarantee: "configuration",
    name: "old policies stay in effect",
    edits: [
      {
        file: "src/node/configuration/configuration-service.ts",
        from: "    this.#policies.clear();\n",
        to: "",
      },
    ],
    script: "bench/simulate.ts",
    args: ["--faults", "none"],
  },
];
