/** Deliberate breaks of nodes. */
import type { Mutation } from "./mutation.ts";

export const NODE_MUTATIONS: readonly Mutation[] = [
  {
    guarantee: "call order",
    name: "numbers of calls are ignored",
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
    name: "commit on one replica, the others later",
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
    name: "the ledger forgets what it has lent",
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
    name: "nothing is released when a program ends, and no sweep",
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
    guarantee: "whole answers",
    name: "pieces that were seen before are not cut off",
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
    guarantee: "true refusals",
    name: "not-run after a time-out",
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
    name: "a new leader sends again what may not be repeated",
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
    guarantee: "leaving back ends",
    name: "homes do not look at the list",
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
    guarantee: "planned stops",
    name: "a stop waits for nothing",
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
    name: "old policies stay in force",
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
