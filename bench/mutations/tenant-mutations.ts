/** Mutations of how gateways enforce tenants' keys and limits. */
import type { Mutation } from "./mutation.ts";

const script = "bench/simulate-gateways.ts";

export const TENANT_MUTATIONS: readonly Mutation[] = [
  {
    guarantee: "limit",
    name: "tenants: a new owner starts with full buckets",
    edits: [
      {
        file: "src/gateway/rates/rate-host.ts",
        from: "RateLimiter.stateWithoutHandOver(this.#members.endedByMs(rival) ?? takenOverAtMs + DOUBT_MS);",
        to: "RateLimiter.stateWithoutHandOver(takenOverAtMs - 30 * DOUBT_MS);",
      },
    ],
    script,
    args: ["--tenants", "--faults", "kill,part-peers,freeze"],
  },
  {
    guarantee: "limit",
    name: "tenants: an owner that is partitioned off grants the whole rate",
    edits: [
      {
        file: "src/coordination/request-rate/rate-limiter.ts",
        from: "(share >= FULL_SHARE_THRESHOLD ? 1 : share)",
        to: "(share >= 0 ? 1 : share)",
      },
    ],
    script,
    args: ["--tenants", "--faults", "part-peers,kill"],
  },
  {
    guarantee: "limit",
    name: "tenants: a lowered limit does not reach the owner",
    edits: [
      {
        file: "src/coordination/request-rate/rate-limiter.ts",
        from: "if (request.limitVersion > account.limitVersion) {",
        to: "if (request.limitVersion > 1e9) {",
      },
    ],
    script,
    args: ["--tenants", "--faults", "history-dropped"],
  },
  {
    guarantee: "limit",
    name: "tenants: every gateway acts as the owner",
    edits: [
      {
        file: "src/gateway/rates/rate-host.ts",
        from: "if (!ownership) throw new RedirectSignal(this.#partitions.ownerOf(partition));",
        to: "if (!ownership) return this.#ledgers.get(partition)?.ledger ?? this.#begun(partition);",
      },
      {
        file: "src/gateway/rates/rate-host.ts",
        from: "  #cleanUp(): void {",
        to: "  #begun(partition: number): RateLimiter {\n    const ledger = new RateLimiter(this.#tolerance, RateLimiter.stateWithoutHandOver(0));\n    this.#ledgers.set(partition, { epoch: 0, ledger });\n    return ledger;\n  }\n\n  #cleanUp(): void {\n    if (this.#tolerance.slack >= 0) return;",
      },
      {
        file: "src/gateway/partitions/partition-owners.ts",
        from: "const owner = this.ownerOf(partition);",
        to: 'const owner = name === "admitRequests" ? this.#context.instance : this.ownerOf(partition);',
      },
    ],
    script,
    args: ["--tenants", "--faults", "kill"],
  },
  {
    guarantee: "key",
    name: "tenants: keys are never revoked when the configuration is stale",
    edits: [
      {
        file: "src/gateway/configuration/routing-watch.ts",
        from: "if (revokeMs === undefined) return true;",
        to: "if (revokeMs !== -1) return true;",
      },
    ],
    script,
    args: ["--tenants", "--faults", "cut-off"],
  },
  {
    guarantee: "key",
    name: "tenants: a refused wait for changes confirms the configuration as current",
    edits: [
      {
        file: "src/gateway/configuration/table-follower.ts",
        from: '    this.#health.recordOutcome(outcome);\n    if (outcome.type === "historyGone") return false;',
        to: '    this.#health.recordOutcome(outcome);\n    this.#listener.onCurrent?.(askedAtMs);\n    if (outcome.type === "historyGone") return false;',
      },
    ],
    script,
    args: ["--tenants", "--faults", "cut-off"],
  },
  {
    guarantee: "limit",
    name: "tenants: an owner hands over full buckets",
    edits: [
      {
        file: "src/coordination/request-rate/rate-limiter.ts",
        from: "tokens.set(subject, bucket.tokens(limit, nowMs));",
        to: "tokens.set(subject, Math.max(bucket.tokens(limit, nowMs), 4 * limit.burst));",
      },
    ],
    script,
    args: ["--tenants", "--faults", "planned-stop"],
  },
  {
    guarantee: "limit",
    name: "tenants: the previous owner counts as ended before it was replaced",
    edits: [
      {
        file: "src/gateway/members/member-directory.ts",
        from: "return successor && successor.instance !== instance ? successor.heardSinceMs : undefined;",
        to: "return successor && successor.instance !== instance ? successor.heardSinceMs : 0;",
      },
    ],
    script,
    args: ["--tenants", "--faults", "kill,part-peers,freeze"],
  },
];
