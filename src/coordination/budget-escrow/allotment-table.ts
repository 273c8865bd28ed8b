/**
 * The borrower's side of budgets: how many tokens a shard may spend without asking the lender.
 *
 * Grants and returns are running totals, so messages about them may be lost, repeated or reordered without harm: the
 * larger total is the newer one. The table is part of the shard's replicated state, so it survives the loss of the
 * leader.
 */

/** A borrower's share of one budget. All fields are numbers of tokens; the first three are running totals. */
export interface Allotment {
  readonly grantedTotal: number;
  readonly returnedTotal: number;
  readonly spentTotal: number;
  readonly reserved: number;
}

const EMPTY_ALLOTMENT: Allotment = { grantedTotal: 0, returnedTotal: 0, spentTotal: 0, reserved: 0 };

/** Returns the number of tokens that may still be reserved. Never negative. */
export function availableTokens(allotment: Allotment): number {
  return allotment.grantedTotal - allotment.returnedTotal - allotment.spentTotal - allotment.reserved;
}

/** Holds a shard's allotments by budget. */
export class AllotmentTable {
  readonly #allotments = new Map<string, Allotment>();

  /** Returns the allotment of a budget; an empty one if nothing was granted. */
  get(budget: string): Allotment {
    return this.#allotments.get(budget) ?? EMPTY_ALLOTMENT;
  }

  /** Returns all budgets with their allotments. */
  entries(): IterableIterator<[string, Allotment]> {
    return this.#allotments.entries();
  }

  /** Records the running total that the lender has granted. An outdated, smaller total is ignored. */
  recordGrant(budget: string, grantedTotal: number): void {
    const held = this.get(budget);
    this.#set(budget, { ...held, grantedTotal: Math.max(held.grantedTotal, grantedTotal) });
  }

  /** Reserves tokens. Returns false and changes nothing if they are not available. */
  reserve(budget: string, tokens: number): boolean {
    const held = this.get(budget);
    if (tokens > availableTokens(held)) return false;
    this.#set(budget, { ...held, reserved: held.reserved + tokens });
    return true;
  }

  /** Charges the spent tokens of a reservation; the unused ones become available again. */
  settle(budget: string, reserved: number, spent: number): void {
    const held = this.get(budget);
    const charged = Math.min(spent, reserved);
    this.#set(budget, {
      ...held,
      reserved: held.reserved - reserved,
      spentTotal: held.spentTotal + charged,
    });
  }

  /** Returns up to `tokens` available tokens. The lender may be told only after this is committed. */
  returnTokens(budget: string, tokens: number): void {
    const held = this.get(budget);
    const returned = Math.min(tokens, availableTokens(held));
    this.#set(budget, { ...held, returnedTotal: held.returnedTotal + returned });
  }

  /** Removes a budget whose window is over. */
  forget(budget: string): void {
    this.#allotments.delete(budget);
  }

  /** Returns the table as plain data. */
  toSnapshot(): [string, Allotment][] {
    return [...this.#allotments];
  }

  /** Replaces the table with a snapshot. */
  restore(snapshot: readonly [string, Allotment][]): void {
    this.#allotments.clear();
    for (const [budget, allotment] of snapshot) this.#allotments.set(budget, allotment);
  }

  #set(budget: string, allotment: Allotment): void {
    this.#allotments.set(budget, allotment);
  }
}
