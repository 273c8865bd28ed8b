/** Records on the borrowing shard what the lender has granted it. */
export interface TakeAllotment {
  readonly type: "takeAllotment";
  readonly budget: string;
  readonly grantedTotal: number;
}

/** Returns tokens that the borrowing shard does not need. Must be committed before the lender is told. */
export interface ReturnAllotment {
  readonly type: "returnAllotment";
  readonly budget: string;
  readonly tokens: number;
}

/** Lends tokens to a borrowing shard. Applied on the shard that holds the budget's ledger. */
export interface LendAllotment {
  readonly type: "lendAllotment";
  readonly budget: string;
  readonly limit: number;
  readonly borrower: string;
  readonly wantedTotal: number;
}

/** Records a borrower's running totals. Applied on the shard that holds the budget's ledger. */
export interface ReportLoan {
  readonly type: "reportLoan";
  readonly budget: string;
  readonly borrower: string;
  readonly returnedTotal: number;
  readonly spentTotal: number;
}

/** Removes budgets whose window is over. */
export interface ForgetBudgets {
  readonly type: "forgetBudgets";
  readonly budgets: readonly string[];
}

/** Any command that changes a budget. */
export type BudgetCommand = TakeAllotment | ReturnAllotment | LendAllotment | ReportLoan | ForgetBudgets;
