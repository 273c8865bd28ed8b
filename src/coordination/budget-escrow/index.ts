export { type Allotment, AllotmentTable, availableTokens } from "./allotment-table.ts";
export { BudgetLedger, type LedgerAccount, type LedgerSnapshot, type Loan } from "./budget-ledger.ts";
