/**
 * Token accounting of one program, kept by the owner of its partition. Tokens are reserved in the store before they are
 * granted. A new owner reads only the stored state, so it never grants them a second time. Tokens that a turn leaves
 * unused are granted again without a write to the store, so that a program can run several turns while the store is
 * unavailable. There is one exception: the unused tokens of a turn that the store lists as open are withheld until the
 * store has been updated, because a new owner finds this turn and may be told its end again. While no turn is in
 * progress, the reservation can be given back, so that a new owner counts only what turns have used. Pure.
 */

/** Largest fraction of the remaining budget that is reserved for future turns. It is lost if the owner is lost before it is given back. */
const MAX_AHEAD_FRACTION = 0.5;

/** The stored state of an account. Everything in it counts as spent. */
export interface StoredAccount {
  /** Tokens of turns that have ended. */
  readonly settled: number;
  /** Tokens that are reserved for future turns. */
  readonly ahead: number;
  /** Open turns, with the maximum number of tokens that each may generate. */
  readonly open: readonly (readonly [turn: string, maxTokens: number])[];
}

const NOTHING_STORED: StoredAccount = { settled: 0, ahead: 0, open: [] };

/** A state of the account to be stored. Pass it to {@link TokenAccount.markStored} after it has been stored. */
export interface AccountSnapshot {
  /** Revision of the account at the time of the snapshot. */
  readonly revision: number;
  readonly account: StoredAccount;
  /** All tokens that the snapshot counts as spent. */
  readonly total: number;
}

/** The result of admitting a turn. */
export type TurnAdmission =
  /** The turn may run once a snapshot of at least this revision is stored. */
  | { readonly type: "granted"; readonly revision: number }
  | { readonly type: "exhausted"; readonly spent: number };

/** Counts the tokens of one program and decides which of its turns may run. */
export class TokenAccount {
  #settled: number;
  readonly #open = new Map<string, number>();
  /** Open turns that an earlier owner admitted and that have not asked again. They may have ended long ago. */
  readonly #inherited: Set<string>;
  /** Counts the changes that must be stored before more tokens are granted. */
  #revision = 0;
  /** Tokens that the next snapshot counts as spent. */
  #total: number;
  /** What the store has for certain: its state counts at least this total as spent, and is of this revision or later. */
  #confirmed: Pick<AccountSnapshot, "revision" | "total">;
  /** Turns that the stored state may list as open. */
  #possiblyStoredTurns: ReadonlySet<string>;
  /** The newest snapshot. It may be stored already, although this has not been confirmed. */
  #newestSnapshot: AccountSnapshot | undefined;
  /** The newest state that is known to be stored, and its revision; undefined if nothing was ever stored. */
  #stored: Pick<AccountSnapshot, "revision" | "account"> | undefined;
  /** Unused tokens of ended turns that the stored state may still list as open. */
  readonly #withheld = new Map<string, number>();

  /**
   * @param stored the stored state. Tokens that the previous owner had reserved for future turns count as spent for
   * good, because it may have granted them since. Open turns count with their maximum until their end is reported.
   */
  constructor(stored?: StoredAccount) {
    this.#settled = stored === undefined ? 0 : stored.settled + stored.ahead;
    for (const [turn, maxTokens] of stored?.open ?? []) this.#open.set(turn, maxTokens);
    this.#inherited = new Set(this.#open.keys());
    this.#possiblyStoredTurns = new Set(this.#open.keys());
    this.#total = this.committed;
    this.#confirmed = { revision: 0, total: this.#total };
    this.#stored = stored && { revision: 0, account: stored };
  }

  /** Tokens that count as spent: the settled ones, and the maximum of every open turn. */
  get committed(): number {
    let sum = this.#settled;
    for (const maxTokens of this.#open.values()) sum += maxTokens;
    return sum;
  }

  /** Whether tokens are reserved that no turn uses. */
  get hasTokensAhead(): boolean {
    return this.#total > this.committed;
  }

  /** Whether tokens are to be granted that the store does not count as spent yet. */
  get isWritePending(): boolean {
    return this.#confirmed.revision < this.#revision;
  }

  /** Whether nothing is known of the program that an account read from the store would not know. */
  get isStoredExactly(): boolean {
    if (this.#open.size > 0 || this.#withheld.size > 0) return false;
    const { revision = 0, account } = this.#stored ?? {};
    const { settled, ahead, open } = account ?? NOTHING_STORED;
    return revision === this.#revision && settled === this.#settled && ahead === 0 && open.length === 0;
  }

  /** Number of changes that must be stored before more tokens are granted. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether a snapshot of at least this revision is known to be stored. */
  isRevisionStored(revision: number): boolean {
    return this.#confirmed.revision >= revision;
  }

  /**
   * Admits a turn if the budget allows it. An open turn that asks again is granted again, without a further
   * reservation.
   *
   * @param maxTokens maximum number of tokens that the turn may generate
   * @param budget maximum number of tokens that all turns of the program may generate
   * @param aheadTurns number of future turns for which tokens are reserved along with this one
   */
  admit(turn: string, maxTokens: number, budget: number, aheadTurns: number): TurnAdmission {
    if (this.#open.has(turn)) {
      this.#inherited.delete(turn);
      return grant(this.#revision);
    }
    const committed = this.committed;
    if (committed + maxTokens > budget) return { type: "exhausted", spent: committed };
    const isCoveredAhead = this.#available >= maxTokens;
    this.#open.set(turn, maxTokens);
    if (isCoveredAhead) return grant(this.#confirmed.revision);
    this.#raiseTotal(tokensAhead(maxTokens, aheadTurns, budget - committed - maxTokens));
    return grant(this.#revision);
  }

  /**
   * Ends a turn and charges the tokens that its caller received. An unknown turn is ignored. Returns whether the turn
   * was known.
   */
  settle(turn: string, tokens: number): boolean {
    const maxTokens = this.#open.get(turn);
    if (maxTokens === undefined) return false;
    this.#open.delete(turn);
    this.#inherited.delete(turn);
    this.#settled += tokens;
    if (this.#possiblyStoredTurns.has(turn)) this.#withheld.set(turn, maxTokens - tokens);
    return true;
  }

  /**
   * Reserves tokens for the next turns when few are available or many are withheld. Returns whether the store must be
   * updated.
   */
  replenish(maxTokens: number, budget: number, aheadTurns: number): boolean {
    const hasEnough = this.#available >= (aheadTurns / 2) * maxTokens;
    if (this.isWritePending || (hasEnough && this.#withheldTokens <= aheadTurns * maxTokens)) return false;
    const ahead = tokensAhead(maxTokens, aheadTurns, budget - this.committed);
    const total = Math.max(this.#total, this.committed + ahead);
    if (total - this.committed - this.#available < maxTokens) return false;
    this.#raiseTotal(ahead);
    return true;
  }

  /**
   * Gives back the tokens reserved for future turns, unless a turn of this owner is in progress or a write is pending.
   * None of them is granted any more without another write. Returns whether the store must be updated.
   */
  giveBackAhead(): boolean {
    if (this.isWritePending || this.#open.size > this.#inherited.size) return false;
    if (!this.hasTokensAhead && this.#withheld.size === 0) return false;
    this.#total = this.committed;
    this.#revision += 1;
    // Whether or not the store gets the update, its state counts at least this much as spent.
    this.#confirmed = { revision: this.#revision, total: this.#total };
    return true;
  }

  /** Returns the state to store. With `releaseAhead`, no tokens stay reserved for future turns. */
  snapshot(releaseAhead = false): AccountSnapshot {
    const { committed } = this;
    const ahead = releaseAhead ? 0 : this.#total - committed;
    const snapshot = {
      revision: this.#revision,
      account: { settled: this.#settled, ahead, open: [...this.#open] },
      total: committed + ahead,
    };
    this.#newestSnapshot = snapshot;
    this.#possiblyStoredTurns = new Set([...this.#possiblyStoredTurns, ...this.#open.keys()]);
    return snapshot;
  }

  /** Records that a snapshot has been stored. */
  markStored(snapshot: AccountSnapshot): void {
    const { revision, total } = snapshot;
    if (revision < this.#confirmed.revision) return;
    this.#confirmed = { revision, total };
    this.#stored = snapshot;
    const openTurns = [snapshot, this.#newestSnapshot].flatMap((one) => one?.account.open ?? []);
    this.#possiblyStoredTurns = new Set(openTurns.map(([turn]) => turn));
    for (const turn of this.#withheld.keys())
      if (!this.#possiblyStoredTurns.has(turn)) this.#withheld.delete(turn);
  }

  /** Tokens that the store counts as spent and that may still be granted, including the unused ones of ended turns. */
  get #available(): number {
    return this.#confirmed.total - this.committed - this.#withheldTokens;
  }

  get #withheldTokens(): number {
    let sum = 0;
    for (const unused of this.#withheld.values()) sum += unused;
    return sum;
  }

  /** Requires a write to the store that counts at least `ahead` tokens beyond the committed ones as spent. */
  #raiseTotal(ahead: number): void {
    this.#total = Math.max(this.#total, this.committed + ahead);
    this.#revision += 1;
  }
}

/**
 * Returns the number of tokens to reserve for future turns: those of whole turns, and never more than a fraction of the
 * remaining budget. Tokens reserved by a lost owner count as spent, so enough of the budget must remain for the program
 * to continue after the loss of one owner.
 */
function tokensAhead(maxTokens: number, aheadTurns: number, remaining: number): number {
  if (maxTokens <= 0 || remaining <= 0) return 0;
  const affordable = Math.floor((remaining * MAX_AHEAD_FRACTION) / maxTokens);
  return Math.min(aheadTurns, affordable) * maxTokens;
}

function grant(revision: number): TurnAdmission {
  return { type: "granted", revision };
}
