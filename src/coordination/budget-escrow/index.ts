export { type Allotment, AllotmentBook, availableOf } from "./allotment-book.ts";
export { BudgetLedger, type LedgerAccount, type LedgerSnapshot, type Loan } from "./budget-ledger.ts";
