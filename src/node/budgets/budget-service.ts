import { type Allotment, availableTokens } from "../../coordination/budget-escrow/index.ts";
import type {
  BorrowRequest,
  BorrowResponse,
  BudgetView,
  ReadBudgetRequest,
} from "../../messages/rpc-messages.ts";
import { repeat } from "../../runtime/clock.ts";
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { ShardRouter } from "../../runtime/shard-router.ts";
import { budgetKey } from "../../scheduling/budget/budget-key.ts";
import type { EffectivePolicy } from "../../scheduling/policy/effective-policy.ts";
import type { ApplyResult } from "../../scheduling/program/program-table.ts";
import type { ConfigurationService } from "../configuration/configuration-service.ts";
import type { NodeContext } from "../node-context.ts";
import type { ShardCommitter } from "../shard-committer.ts";
import type { ShardHost } from "../shard-host.ts";
import type { ShardReplica } from "../shard-replica.ts";
import { canForgetBudget } from "./can-forget-budget.ts";

/** Multiple of a call's tokens that is borrowed in addition, so that not every call has to borrow from the ledger. */
const LOAN_FACTOR = 8;
/** Maximum fraction of a budget that a shard borrows beyond what its current calls need. */
const MAX_EXTRA_SHARE = 1 / 16;
const MAX_RESERVE_ATTEMPTS = 4;
const BORROW_TIMEOUT_MS = 3_000;
const SETTLE_INTERVAL_MS = 2_000;
/** An allotment that was not used for this long is returned to the ledger, in ms. */
const IDLE_RETURN_MS = 8_000;

/**
 * Both sides of token budgets, for the shards that this node leads. As borrower, it obtains tokens from the ledgers of
 * budgets. As lender, it keeps the ledgers that are stored on these shards.
 */
export class BudgetService {
  readonly #context: NodeContext;
  readonly #shards: ShardHost;
  readonly #configuration: ConfigurationService;
  readonly #router: ShardRouter;
  readonly #committer: ShardCommitter;
  readonly #lastUses = new Map<string, { readonly use: number; readonly sinceMs: number }>();
  readonly #reportedSignatures = new Map<string, string>();
  /** Number of tokens that calls are currently waiting to borrow, by shard and budget. */
  readonly #wantedTokens = new Map<string, number>();
  #stop: () => void = () => undefined;

  constructor(
    context: NodeContext,
    shards: ShardHost,
    configuration: ConfigurationService,
    router: ShardRouter,
    committer: ShardCommitter,
    rpc: RpcEndpoint,
  ) {
    this.#context = context;
    this.#shards = shards;
    this.#configuration = configuration;
    this.#router = router;
    this.#committer = committer;
    rpc.handle("borrow", (request) => this.#lend(request));
    rpc.handle("nameBudget", async ({ tenant, template }) => ({
      budget: this.budgetOf(this.#configuration.policyOf(tenant, template)),
    }));
    rpc.handle("readBudget", (request) => this.#read(request));
    rpc.handle("reportLoan", async (request) => {
      const replica = this.#shards.ledReplica(this.#ledgerShard(request.budget));
      await this.#shards.propose(replica, { type: "reportLoan", ...request });
      return {};
    });
  }

  /** Starts returning unused allotments and reporting spent tokens, at a fixed interval. */
  start(): void {
    const { clock } = this.#context;
    this.#stop = repeat(clock, SETTLE_INTERVAL_MS, () => void this.#settleAll().catch(() => undefined));
  }

  /** Stops returning allotments and reporting spent tokens. */
  stop(): void {
    this.#stop();
  }

  /** Returns the key of the budget to which a call with this policy is charged now. */
  budgetOf(policy: EffectivePolicy): string {
    const isoTime = new Date(this.#context.clock.wallMs()).toISOString();
    return budgetKey(policy.tenant, policy.template, policy.budget.window, isoTime);
  }

  /** Borrows if a shard can't reserve `tokens`. Returns the number of available tokens, which may be lower. */
  async ensureAvailable(replica: ShardReplica, policy: EffectivePolicy, tokens: number): Promise<number> {
    const budget = this.budgetOf(policy);
    const available = availableTokens(replica.state.allotments.get(budget));
    if (available >= tokens) return available;
    const key = `${replica.shard} ${budget}`;
    this.#wantedTokens.set(key, (this.#wantedTokens.get(key) ?? 0) + tokens);
    try {
      return await this.#raiseAllotment(
        replica,
        policy,
        budget,
        tokens,
        this.#wantedTokens.get(key) ?? tokens,
      );
    } finally {
      this.#wantedTokens.set(key, (this.#wantedTokens.get(key) ?? 0) - tokens);
    }
  }

  /**
   * Proposes a command that reserves `tokens`. Commands that are proposed at the same time may compete for the same
   * tokens: borrows more and proposes again if they are gone.
   */
  async reserve(
    replica: ShardReplica,
    policy: EffectivePolicy,
    tokens: number,
    propose: () => Promise<ApplyResult>,
  ): Promise<ApplyResult> {
    let result = await propose();
    for (let attempt = 2; attempt <= MAX_RESERVE_ATTEMPTS && isBudgetShort(result); attempt++) {
      await this.ensureAvailable(replica, policy, tokens);
      result = await propose();
    }
    return result;
  }

  /** @param wanted the tokens that this call and all concurrent calls need together */
  async #raiseAllotment(
    replica: ShardReplica,
    policy: EffectivePolicy,
    budget: string,
    tokens: number,
    wanted: number,
  ): Promise<number> {
    const held = replica.state.allotments.get(budget);
    const available = availableTokens(held);
    const extra = Math.min(tokens * LOAN_FACTOR, Math.floor(policy.budget.tokens * MAX_EXTRA_SHARE));
    const wantedTotal = held.grantedTotal + Math.max(0, wanted - available) + extra;
    const grantedTotal = await this.#borrow(replica, policy, budget, wantedTotal);
    if (grantedTotal > held.grantedTotal) {
      await this.#committer.commit(replica.shard, { type: "takeAllotment", budget, grantedTotal });
    }
    return availableTokens(replica.state.allotments.get(budget));
  }

  async #settleAll(): Promise<void> {
    for (const replica of this.#shards.all()) {
      if (!replica.leads) continue;
      for (const [budget, held] of [...replica.state.allotments.entries()])
        await this.#settle(replica, budget, held);
      await this.#forgetPastBudgets(replica);
    }
  }

  /** Returns an allotment that was idle for a while, so that other shards can use it, and reports the spent tokens. */
  async #settle(replica: ShardReplica, budget: string, held: Allotment): Promise<void> {
    const nowMs = this.#context.clock.monotonicMs();
    const key = `${replica.shard} ${budget}`;
    const use = held.spentTotal + held.reserved;
    const known = this.#lastUses.get(key);
    if (known?.use !== use) this.#lastUses.set(key, { use, sinceMs: nowMs });
    const idle = known?.use === use && nowMs - known.sinceMs > IDLE_RETURN_MS;
    const unused = availableTokens(held);
    if (idle && unused > 0) {
      await this.#shards.propose(replica, { type: "returnAllotment", budget, tokens: unused });
    }
    await this.#reportLoan(replica, budget, key);
  }

  async #reportLoan(replica: ShardReplica, budget: string, key: string): Promise<void> {
    const { returnedTotal, spentTotal } = replica.state.allotments.get(budget);
    const signature = `${returnedTotal} ${spentTotal}`;
    if (this.#reportedSignatures.get(key) === signature) return;
    const report = { budget, borrower: borrowerName(replica.shard), returnedTotal, spentTotal };
    await this.#router.ask(this.#ledgerShard(budget), "reportLoan", report, BORROW_TIMEOUT_MS);
    this.#reportedSignatures.set(key, signature);
  }

  async #forgetPastBudgets(replica: ShardReplica): Promise<void> {
    const nowMs = this.#context.clock.wallMs();
    const known = new Set([
      ...replica.state.allotments.toSnapshot().map(([budget]) => budget),
      ...replica.state.ledger.budgets(),
    ]);
    const past = [...known].filter((budget) => canForgetBudget(budget, nowMs));
    if (past.length > 0) await this.#shards.propose(replica, { type: "forgetBudgets", budgets: past });
  }

  async #borrow(
    replica: ShardReplica,
    policy: EffectivePolicy,
    budget: string,
    wantedTotal: number,
  ): Promise<number> {
    const request: BorrowRequest = {
      budget,
      tenant: policy.tenant,
      template: policy.template,
      borrower: borrowerName(replica.shard),
      wantedTotal,
    };
    const response = await this.#router.ask(this.#ledgerShard(budget), "borrow", request, BORROW_TIMEOUT_MS);
    return response.grantedTotal;
  }

  async #lend(request: BorrowRequest): Promise<BorrowResponse> {
    const { budget, borrower, wantedTotal } = request;
    const replica = this.#shards.ledReplica(this.#ledgerShard(budget));
    const limit = this.#configuration.policyOf(request.tenant, request.template).budget.tokens;
    await this.#shards.propose(replica, { type: "lendAllotment", budget, limit, borrower, wantedTotal });
    const loan = replica.state.ledger.account(budget)?.loans.get(borrower);
    return { grantedTotal: loan?.grantedTotal ?? 0 };
  }

  async #read({ tenant, template }: ReadBudgetRequest): Promise<BudgetView> {
    const policy = this.#configuration.policyOf(tenant, template);
    const budget = this.budgetOf(policy);
    const replica = this.#shards.ledReplica(this.#ledgerShard(budget));
    const loans = [...(replica.state.ledger.account(budget)?.loans ?? [])];
    return {
      budget,
      limit: policy.budget.tokens,
      lent: replica.state.ledger.outstanding(budget),
      spentReported: loans.reduce((sum, [, loan]) => sum + loan.spentTotal, 0),
      borrowers: loans.map(([borrower, loan]) => ({
        borrower,
        lent: loan.grantedTotal - loan.returnedTotal,
        spent: loan.spentTotal,
      })),
    };
  }

  #ledgerShard(budget: string): number {
    return this.#shards.shardOfKey(`budget:${budget}`);
  }
}

function isBudgetShort(result: ApplyResult): boolean {
  return !result.accepted && result.reason === "budget-short";
}

/** Returns the name that identifies a shard as a borrower in a ledger. */
export function borrowerName(shard: number): string {
  return `shard-${shard}`;
}
