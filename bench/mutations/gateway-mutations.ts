/** Mutations of gateways. */
import type { Mutation } from "./mutation.ts";

const script = "bench/simulate-gateways.ts";

export const GATEWAY_MUTATIONS: readonly Mutation[] = [
  {
    guarantee: "budget",
    name: "gateway: a grant is sent before it is stored",
    edits: [
      {
        file: "src/gateway/partitions/owned-partition.ts",
        from: 'if (account.isRevisionStored(grant.revision)) return Promise.resolve("recorded");',
        to: 'if (grant.type === "granted") return Promise.resolve("recorded");',
      },
    ],
    script,
    args: ["--faults", "kill-all"],
  },
  {
    guarantee: "budget",
    name: "gateway: tokens reserved by a lost owner are granted again",
    edits: [
      {
        file: "src/coordination/token-account/token-account.ts",
        from: "stored === undefined ? 0 : stored.settled + stored.ahead;",
        to: "stored === undefined ? 0 : stored.settled;",
      },
    ],
    script,
    args: ["--faults", "kill-all"],
  },
  {
    guarantee: "budget",
    name: "gateway: an owner grants tokens that it has given back",
    edits: [
      {
        file: "src/coordination/token-account/token-account.ts",
        from: "    this.#confirmed = { revision: this.#revision, total: this.#total };\n    return true;",
        to: "    return true;",
      },
    ],
    script: "test/contract/token-account.test.ts",
    args: [],
  },
  {
    guarantee: "budget",
    name: "gateway: the unused tokens of a turn that the store lists as in progress are granted at once",
    edits: [
      {
        file: "src/coordination/token-account/token-account.ts",
        from: "if (this.#possiblyStoredTurns.has(turn)) this.#withheld.set(turn, maxTokens - tokens);",
        to: "",
      },
    ],
    script,
    args: ["--faults", "kill,messages-lost"],
  },
  {
    guarantee: "budget",
    name: "gateway: an owner writes without a condition",
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
    guarantee: "history",
    name: "gateway: turns are searched for in one part of the store only",
    edits: [
      {
        file: "src/gateway/partitions/retained-turns.ts",
        from: "const parts = turnParts(turn, settings.turnParts, hash);",
        to: 'const parts = settings.turnParts === 0 ? turnParts(turn, 1, hash) : ["t0"];',
      },
    ],
    script,
    args: ["--faults", "kill"],
  },
  {
    guarantee: "history",
    name: "gateway: an answer ends before its turn is stored",
    edits: [
      {
        file: "src/gateway/partitions/partition-client.ts",
        from: "return this.#host.storeTurn(turn, content, timeoutMs);",
        to: "return Promise.resolve(true || this.#host.storeTurn(turn, content, timeoutMs));",
      },
    ],
    script,
    args: ["--faults", "kill-all,store-silent"],
  },
  {
    guarantee: "history",
    name: "gateway: an answer ends after a timeout although its turn is not stored",
    edits: [
      {
        file: "src/gateway/partitions/partition-client.ts",
        from: "return this.#host.storeTurn(turn, content, timeoutMs);",
        to: "const stored = this.#host.storeTurn(turn, content, timeoutMs);\n    return Promise.race([stored, delay(this.#context.clock, 200).then(() => true)]);",
      },
    ],
    script,
    args: ["--faults", "kill-all,store-parts-silent"],
  },
  {
    guarantee: "budget",
    name: "gateway: a peer sends a transaction without its conditions",
    edits: [
      {
        file: "src/gateway/store/relayed-row-store.ts",
        from: "transaction: { ...call.transaction, puts } };",
        to: "transaction: { ...call.transaction, puts, conditions: [] } };",
      },
    ],
    script,
    args: ["--faults", "cut-store,part-peers"],
  },
  {
    guarantee: "configuration",
    name: "gateway: the table is not read again after its change history was dropped",
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
    guarantee: "recovery",
    name: "gateway: a row whose owner is alive is never taken over",
    edits: [
      {
        file: "src/gateway/partitions/partition-host.ts",
        from: "if (mayBeOwned && (await this.#isOwnerWriting(partition, row))) return undefined;",
        to: "if (mayBeOwned) return undefined;",
      },
    ],
    script,
    args: ["--faults", "lost-answers,store-silent"],
  },
  {
    guarantee: "recovery",
    name: "gateway: liveness reported by a relay of the own zone is forwarded as first-hand",
    edits: [
      {
        file: "src/gateway/members/member-directory.ts",
        from: "reuseIfEqual(this.#relayableMembers, this.#view.relayable())",
        to: "reuseIfEqual(this.#relayableMembers, this.#view.alive())",
      },
      {
        file: "src/gateway/members/relayed-liveness.ts",
        from: "if (nowMs < untilMs) evidence.push({ relay, instances, untilMs });",
        to: "evidence.push({ relay, instances, untilMs });",
      },
    ],
    script,
    args: ["--relays", "--faults", "kill,freeze"],
  },
  {
    guarantee: "recovery",
    name: "gateway: members known only through relays are not reported again",
    edits: [
      {
        file: "src/gateway/members/member-directory.ts",
        from: "    this.#notifyRelayedMembers();\n",
        to: "",
      },
    ],
    script,
    args: ["--relays", "--faults", "planned-stop,kill-all"],
  },
  {
    guarantee: "recovery",
    name: "gateway: a relayed status is dropped while direct messages arrive from its gateway's address",
    edits: [
      {
        file: "src/gateway/members/member-view.ts",
        from: "if (known && known.instance !== instance && this.isHeard(address)) continue;",
        to: "if (known && this.isHeard(address)) continue;",
      },
    ],
    script,
    args: ["--relays", "--faults", "store-slow,store-slow"],
  },
];
