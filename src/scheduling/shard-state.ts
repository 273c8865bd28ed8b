import type { Allotment } from "../coordination/budget-escrow/index.ts";
import { AllotmentTable, BudgetLedger, type LedgerSnapshot } from "../coordination/budget-escrow/index.ts";
import type { BudgetCommand } from "./budget/commands.ts";
import type { ProgramCommand } from "./program/commands.ts";
import { type ApplyResult, ProgramTable, type ProgramTableSnapshot } from "./program/program-table.ts";

/** Any command that a shard replicates. */
export type ShardCommand = ProgramCommand | BudgetCommand;

/** A snapshot of {@link ShardState}, as plain data. */
export interface ShardSnapshot {
  readonly programs: ProgramTableSnapshot;
  readonly allotments: readonly [string, Allotment][];
  readonly ledger: LedgerSnapshot;
}

const ACCEPTED: ApplyResult = { accepted: true };

/**
 * The replicated state of one shard: its programs, the budget tokens allotted to it, and the ledger of the tenants'
 * budgets that it lends to other shards.
 */
export class ShardState {
  readonly allotments = new AllotmentTable();
  readonly ledger = new BudgetLedger();
  readonly programs: ProgramTable;

  /** @param hash computes the hash chains of the programs' histories */
  constructor(hash: (text: string) => string) {
    this.programs = new ProgramTable(this.allotments, hash);
  }

  /** Applies one committed command. */
  apply(command: ShardCommand): ApplyResult {
    switch (command.type) {
      case "takeAllotment":
        this.allotments.recordGrant(command.budget, command.grantedTotal);
        return ACCEPTED;
      case "returnAllotment":
        this.allotments.returnTokens(command.budget, command.tokens);
        return ACCEPTED;
      case "lendAllotment":
        this.ledger.lend(command.budget, command.limit, command.borrower, command.wantedTotal);
        return ACCEPTED;
      case "reportLoan":
        this.ledger.report(command.budget, command.borrower, command.returnedTotal, command.spentTotal);
        return ACCEPTED;
      case "forgetBudgets":
        for (const budget of command.budgets) this.#forgetBudget(budget);
        return ACCEPTED;
      default:
        return this.programs.apply(command);
    }
  }

  /** Returns the state as plain data. */
  toSnapshot(): ShardSnapshot {
    return {
      programs: this.programs.toSnapshot(),
      allotments: this.allotments.toSnapshot(),
      ledger: this.ledger.toSnapshot(),
    };
  }

  /** Replaces the state with a snapshot. */
  restore(snapshot: ShardSnapshot): void {
    this.programs.restore(snapshot.programs);
    this.allotments.restore(snapshot.allotments);
    this.ledger.restore(snapshot.ledger);
  }

  #forgetBudget(budget: string): void {
    this.allotments.forget(budget);
    this.ledger.forget(budget);
  }
}
