/**
 * The lender's side of budgets: how many tokens each borrower holds.
 *
 * Guarantee: the sum of the tokens held by borrowers never exceeds the limit that was in force when they were lent. An
 * allotment that is not returned counts as spent, even if its borrower is lost: the next leader of the borrower's shard
 * finds the allotment in its log and continues to use it.
 */

/** The tokens lent to one borrower, as running totals. */
export interface Loan {
  readonly grantedTotal: number;
  readonly returnedTotal: number;
  /** As last reported by the borrower; used only for display. */
  readonly spentTotal: number;
}

/** The ledger's account of one budget. */
export interface LedgerAccount {
  /** Limit in tokens at the time of the last grant. */
  limit: number;
  readonly loans: Map<string, Loan>;
}

/** A snapshot of {@link BudgetLedger}, as plain data. */
export type LedgerSnapshot = [string, { limit: number; loans: [string, Loan][] }][];

const EMPTY_LOAN: Loan = { grantedTotal: 0, returnedTotal: 0, spentTotal: 0 };

/** Lends the tokens of budgets to borrowers, and records what they hold. */
export class BudgetLedger {
  readonly #accounts = new Map<string, LedgerAccount>();

  /** Returns a budget's account, or undefined if nothing was ever lent from it. */
  account(budget: string): LedgerAccount | undefined {
    return this.#accounts.get(budget);
  }

  /** Returns the number of tokens that borrowers hold or have spent. */
  outstanding(budget: string): number {
    let sum = 0;
    for (const loan of this.#accounts.get(budget)?.loans.values() ?? []) {
      sum += loan.grantedTotal - loan.returnedTotal;
    }
    return sum;
  }

  /**
   * Increases a borrower's total towards `wantedTotal`, as far as `limit` allows.
   *
   * @returns the borrower's new total; repeating the call with the same `wantedTotal` lends nothing more
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

  /** Records a borrower's running totals of returned and spent tokens. */
  report(budget: string, borrower: string, returnedTotal: number, spentTotal: number): void {
    const loan = this.#accounts.get(budget)?.loans.get(borrower);
    if (!loan) return;
    this.#accounts.get(budget)?.loans.set(borrower, {
      grantedTotal: loan.grantedTotal,
      returnedTotal: Math.max(loan.returnedTotal, returnedTotal),
      spentTotal: Math.max(loan.spentTotal, spentTotal),
    });
  }

  /** Removes a budget whose window is over. */
  forget(budget: string): void {
    this.#accounts.delete(budget);
  }

  /** Returns the names of all budgets. */
  budgets(): IterableIterator<string> {
    return this.#accounts.keys();
  }

  /** Returns the ledger as plain data. */
  toSnapshot(): LedgerSnapshot {
    return [...this.#accounts].map(([budget, { limit, loans }]) => [budget, { limit, loans: [...loans] }]);
  }

  /** Replaces the ledger with a snapshot. */
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
