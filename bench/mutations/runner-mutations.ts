/** Mutations of how gateways read runner rows, and of how they handle rows that are invalid. */
import type { Mutation } from "./mutation.ts";

export const RUNNER_MUTATIONS: readonly Mutation[] = [
  {
    guarantee: "runners",
    name: "runner: the start time of a runner is ignored",
    edits: [
      {
        file: "platform/runner-row.ts",
        from: "(born === undefined ? name :",
        to: "(born !== 0 ? name :",
      },
    ],
    script: "test/contract/runner-watch.test.ts",
    args: [],
  },
  {
    guarantee: "runners",
    name: "runner: an entry of an earlier start replaces the known one",
    edits: [
      {
        file: "src/scheduling/runner-balancing/start-order.ts",
        from: 'return entry.startedAtMs > known.startedAtMs ? "later" : "earlier";',
        to: 'return "later";',
      },
    ],
    script: "test/contract/runner-watch.test.ts",
    args: [],
  },
  {
    guarantee: "runners",
    name: "runner: the last entry stays in use after another writer has replaced its row",
    edits: [
      {
        file: "src/gateway/runners/runner-watch.ts",
        from: 'if (known) this.#storeEntry({ ...known, state: "draining" });',
        to: "if (known) this.#storeEntry(known);",
      },
    ],
    script: "test/contract/runner-watch.test.ts",
    args: [],
  },
  {
    guarantee: "runners",
    name: "runner: an entry in an unknown state is used",
    edits: [
      {
        file: "platform/runner-row.ts",
        from: 'if (state !== "ready" && state !== "draining") return undefined;',
        to: 'if (typeof state !== "string") return undefined;',
      },
    ],
    script: "test/contract/runner-row.test.ts",
    args: [],
  },
  {
    guarantee: "runners",
    name: "runner: a gateway ignores its share of a runner's connections",
    edits: [
      {
        file: "src/scheduling/runner-balancing/connection-share.ts",
        from: "if (use.own < connectionShare(maxConnections - unreserved, gateways)) return true;",
        to: "if (gateways > 0 && use.own < MAX_SHARE) return true;",
      },
    ],
    script: "test/contract/connection-share.test.ts",
    args: [],
  },
  {
    guarantee: "budget",
    name: "row: an unreadable account is treated as empty",
    edits: [
      {
        file: "src/gateway/partitions/owned-partition.ts",
        from: "this.#unreadable = stored.unreadable;",
        to: "this.#unreadable = new Set();",
      },
    ],
    script: "test/contract/corrupt-rows.test.ts",
    args: [],
  },
];
