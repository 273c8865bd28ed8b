/** Takes in what the lender granted this shard. */
export interface TakeAllotment {
  readonly type: "takeAllotment";
  readonly budget: string;
  readonly grantedTotal: number;
}

/** Gives back what this shard does not need; committed before the lender is told. */
export interface ReturnAllotment {
  readonly type: "returnAllotment";
  readonly budget: string;
  readonly tokens: number;
}

/** Lends to a shard, on the ledger's shard. */
export interface LendAllotment {
  readonly type: "lendAllotment";
  readonly budget: string;
  readonly limit: number;
  readonly borrower: string;
  readonly wantedTotal: number;
}

/** Takes in a borrower's totals, on the ledger's shard. */
export interface ReportLoan {
  readonly type: "reportLoan";
  readonly budget: string;
  readonly borrower: string;
  readonly returnedTotal: number;
  readonly spentTotal: number;
}

/** Drops budgets whose window is over. */
export interface ForgetBudgets {
  readonly type: "forgetBudgets";
  readonly budgets: readonly string[];
}

/** The commands that change budgets. */
export type BudgetCommand = TakeAllotment | ReturnAllotment | LendAllotment | ReportLoan | ForgetBudgets;
