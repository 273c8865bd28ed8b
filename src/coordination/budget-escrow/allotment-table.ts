/**
 * The borrower's side of a budget: how much a shard may spend without asking.
 *
 * Grants and returns are running totals, so a message about them may be lost, repeated or overtaken without harm:
 * the larger total is the newer one. The book is part of the shard's replicated state and so survives its leader.
 */

/** What a borrower holds of one budget. All fields are tokens; the first three are running totals. */
export interface Allotment {
  readonly grantedTotal: number;
  readonly returnedTotal: number;
  readonly spentTotal: number;
  readonly reserved: number;
}

const EMPTY_ALLOTMENT: Allotment = { grantedTotal: 0, returnedTotal: 0, spentTotal: 0, reserved: 0 };

/** Tokens that may still be reserved. Never negative. */
export function availableTokens(allotment: Allotment): number {
  return allotment.grantedTotal - allotment.returnedTotal - allotment.spentTotal - allotment.reserved;
}

/** See the module's comment. */
export class AllotmentTable {
  readonly #allotments = new Map<string, Allotment>();

  /** What is held of a budget. */
  get(budget: string): Allotment {
    return this.#allotments.get(budget) ?? EMPTY_ALLOTMENT;
  }

  /** Every budget with what is held of it. */
  entries(): IterableIterator<[string, Allotment]> {
    return this.#allotments.entries();
  }

  /** Takes in the lender's newest running total. */
  recordGrant(budget: string, grantedTotal: number): void {
    const held = this.get(budget);
    this.#set(budget, { ...held, grantedTotal: Math.max(held.grantedTotal, grantedTotal) });
  }

  /** Sets tokens aside. Returns false, and changes nothing, when they are not available. */
  reserve(budget: string, tokens: number): boolean {
    const held = this.get(budget);
    if (tokens > availableTokens(held)) return false;
    this.#set(budget, { ...held, reserved: held.reserved + tokens });
    return true;
  }

  /** Turns a reservation into spending; what is left over becomes available again. */
  settle(budget: string, reserved: number, spent: number): void {
    const held = this.get(budget);
    const charged = Math.min(spent, reserved);
    this.#set(budget, {
      ...held,
      reserved: held.reserved - reserved,
      spentTotal: held.spentTotal + charged,
    });
  }

  /** Gives up to `tokens` of what is available back. Only after this is committed may the lender be told. */
  returnTokens(budget: string, tokens: number): void {
    const held = this.get(budget);
    const returned = Math.min(tokens, availableTokens(held));
    this.#set(budget, { ...held, returnedTotal: held.returnedTotal + returned });
  }

  /** Drops a budget whose window is over. */
  forget(budget: string): void {
    this.#allotments.delete(budget);
  }

  /** The book as plain data. */
  toSnapshot(): [string, Allotment][] {
    return [...this.#allotments];
  }

  /** Replaces the book. */
  restore(snapshot: readonly [string, Allotment][]): void {
    this.#allotments.clear();
    for (const [budget, allotment] of snapshot) this.#allotments.set(budget, allotment);
  }

  #set(budget: string, allotment: Allotment): void {
    this.#allotments.set(budget, allotment);
  }
}
