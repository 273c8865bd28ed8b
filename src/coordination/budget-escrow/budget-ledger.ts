/**
 * The lender's side of a budget: who holds how much of it.
 *
 * The promise: the sum of what borrowers hold never passes the limit that was in force when it was lent.
 * An allotment that is not returned counts as spent, also when its borrower is gone: its shard's next leader
 * finds the allotment in its journal and goes on with it.
 */

/** What one borrower was lent, as running totals in tokens. */
export interface Loan {
  readonly grantedTotal: number;
  readonly returnedTotal: number;
  /** As the borrower last reported; for display only. */
  readonly spentTotal: number;
}

/** One budget in the ledger. */
export interface LedgerAccount {
  /** Tokens, as of the last grant. */
  limit: number;
  readonly loans: Map<string, Loan>;
}

/** {@link BudgetLedger} as plain data. */
export type LedgerSnapshot = [string, { limit: number; loans: [string, Loan][] }][];

const EMPTY_LOAN: Loan = { grantedTotal: 0, returnedTotal: 0, spentTotal: 0 };

/** See the module's comment. */
export class BudgetLedger {
  readonly #accounts = new Map<string, LedgerAccount>();

  /** A budget's account, if anything was ever lent of it. */
  account(budget: string): LedgerAccount | undefined {
    return this.#accounts.get(budget);
  }

  /** Tokens that borrowers hold or have spent. */
  outstanding(budget: string): number {
    let sum = 0;
    for (const loan of this.#accounts.get(budget)?.loans.values() ?? []) {
      sum += loan.grantedTotal - loan.returnedTotal;
    }
    return sum;
  }

  /**
   * Raises a borrower's total towards `wantedTotal`, as far as `limit` allows.
   *
   * @returns the borrower's total after it; asking again with the same total lends nothing more
   */
  lend(budget: string, limit: number, borrower: string, wantedTotal: number): number {
    const account = this.#openAccount(budget, limit);
    const loan = account.loans.get(borrower) ?? EMPTY_LOAN;
    const lendable = Math.max(0, limit - this.outstanding(budget));
    const increase = Math.min(Math.max(0, wantedTotal - loan.grantedTotal), lendable);
    const grantedTotal = loan.grantedTotal + increase;
    account.loans.set(borrower, { ...loan, grantedTotal });
    return grantedTotal;
  }

  /** Takes in a borrower's running totals of what it returned and spent. */
  report(budget: string, borrower: string, returnedTotal: number, spentTotal: number): void {
    const loan = this.#accounts.get(budget)?.loans.get(borrower);
    if (!loan) return;
    this.#accounts.get(budget)?.loans.set(borrower, {
      grantedTotal: loan.grantedTotal,
      returnedTotal: Math.max(loan.returnedTotal, returnedTotal),
      spentTotal: Math.max(loan.spentTotal, spentTotal),
    });
  }

  /** Drops a budget whose window is over. */
  forget(budget: string): void {
    this.#accounts.delete(budget);
  }

  /** Every budget's name. */
  budgets(): IterableIterator<string> {
    return this.#accounts.keys();
  }

  /** The ledger as plain data. */
  toSnapshot(): LedgerSnapshot {
    return [...this.#accounts].map(([budget, { limit, loans }]) => [budget, { limit, loans: [...loans] }]);
  }

  /** Replaces the ledger. */
  restore(snapshot: LedgerSnapshot): void {
    this.#accounts.clear();
    for (const [budget, { limit, loans }] of snapshot) {
      this.#accounts.set(budget, { limit, loans: new Map(loans) });
    }
  }

  #openAccount(budget: string, limit: number): LedgerAccount {
    const account = this.#accounts.get(budget) ?? { limit, loans: new Map<string, Loan>() };
    account.limit = limit;
    this.#accounts.set(budget, account);
    return account;
  }
}
