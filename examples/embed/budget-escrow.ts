/** Two borrowers share one budget: their reservations together never exceed the limit. */
import { AllotmentTable, BudgetLedger } from "../../src/coordination/budget-escrow/index.ts";

const BUDGET = "team-a/2026-12";
const LIMIT = 100;

/** Runs the example; returns for each reservation whether it succeeded. */
export function runBudgetEscrowExample(): boolean[] {
  const ledger = new BudgetLedger();
  const left = new AllotmentTable();
  const right = new AllotmentTable();
  left.recordGrant(BUDGET, ledger.lend(BUDGET, LIMIT, "left", 70));
  right.recordGrant(BUDGET, ledger.lend(BUDGET, LIMIT, "right", 70));
  const possible = [left.reserve(BUDGET, 60), right.reserve(BUDGET, 60), right.reserve(BUDGET, 30)];
  left.settle(BUDGET, 60, 20);
  left.returnTokens(BUDGET, 50);
  const { returnedTotal, spentTotal } = left.get(BUDGET);
  ledger.report(BUDGET, "left", returnedTotal, spentTotal);
  right.recordGrant(BUDGET, ledger.lend(BUDGET, LIMIT, "right", 70));
  return [...possible, right.reserve(BUDGET, 40)];
}
