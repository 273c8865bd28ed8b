/**
 * The count of tokens of one program, at the owner of its partition. Tokens are set aside in the store before they are
 * granted, so that a new owner, which finds only what was stored, never grants them twice. What turns leave unused of them
 * is granted again without the store: a program goes on for several turns while the store is away. Only what a turn leaves
 * that the store names as under way waits for the store: a new owner finds that turn and may be told its end again. Pure.
 */

/** Largest part of what is left of a budget that is set aside for turns to come: it is lost with its owner. */
const MAX_AHEAD_FRACTION = 0.5;

/** What is stored of an account. Everything in it counts as spent. */
export interface StoredAccount {
  /** Tokens of turns that have ended. */
  readonly settled: number;
  /** Tokens that are set aside for turns to come. */
  readonly ahead: number;
  /** Turns under way, with the most that each may generate. */
  readonly open: readonly (readonly [turn: string, maxTokens: number])[];
}

/** What the store must hold. Give it back to {@link TokenAccount.markStored} once the store holds it. */
export interface AccountSnapshot {
  /** Its place in the order of the account's changes. */
  readonly revision: number;
  readonly account: StoredAccount;
  /** All tokens that count as spent by it; never less than in a snapshot before, until the owner lets go. */
  readonly total: number;
}

/** Whether a turn may run. */
export type TurnAdmission =
  /** It may, once the store holds a snapshot of at least this revision. */
  | { readonly type: "granted"; readonly revision: number }
  | { readonly type: "exhausted"; readonly spent: number };

/** See the module's comment. */
export class TokenAccount {
  #settled: number;
  readonly #open = new Map<string, number>();
  /** Counts the changes that the store must know of before anything more is granted. */
  #revision = 0;
  /** Tokens that count as spent by the next snapshot. */
  #total: number;
  /** The newest snapshot that the store holds, without its content. */
  #confirmed: Pick<AccountSnapshot, "revision" | "total">;
  /** Turns that the store may name as under way. */
  #possiblyStoredTurns: ReadonlySet<string>;
  /** The newest snapshot: the store may hold it although it has not said so. */
  #newestSnapshot: AccountSnapshot | undefined;
  /** What turns have left unused that the store may still name as under way. */
  readonly #withheld = new Map<string, number>();

  /**
   * @param stored what the store has of it. What the owner that wrote it had set aside, it may have granted since: that
   * counts as spent for good. The turns under way that it names count with their most until their end is told.
   */
  constructor(stored?: StoredAccount) {
    this.#settled = stored === undefined ? 0 : stored.settled + stored.ahead;
    for (const [turn, maxTokens] of stored?.open ?? []) this.#open.set(turn, maxTokens);
    this.#possiblyStoredTurns = new Set(this.#open.keys());
    this.#total = this.committed;
    this.#confirmed = { revision: 0, total: this.#total };
  }

  /** Tokens that count as spent: settled ones, and the most of every turn under way. */
  get committed(): number {
    let sum = this.#settled;
    for (const maxTokens of this.#open.values()) sum += maxTokens;
    return sum;
  }

  /** Whether tokens are set aside that no turn uses. */
  get hasTokensAhead(): boolean {
    return this.#total > this.committed;
  }

  /** Counts the changes that the store must know of before anything more is granted. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether the store holds a snapshot of at least this revision. */
  isRevisionStored(revision: number): boolean {
    return this.#confirmed.revision >= revision;
  }

  /**
   * Asks for a turn. The same turn may ask again and gets the same answer.
   *
   * @param maxTokens the most tokens that the turn may generate
   * @param budget all tokens that the program's turns may generate
   * @param aheadTurns for how many turns more tokens are set aside along with this one
   */
  admit(turn: string, maxTokens: number, budget: number, aheadTurns: number): TurnAdmission {
    if (this.#open.has(turn)) return grant(this.#revision);
    const committed = this.committed;
    if (committed + maxTokens > budget) return { type: "exhausted", spent: committed };
    const isCoveredAhead = this.#available >= maxTokens;
    this.#open.set(turn, maxTokens);
    if (isCoveredAhead) return grant(this.#confirmed.revision);
    this.#raiseTotal(tokensAhead(maxTokens, aheadTurns, budget - committed - maxTokens));
    return grant(this.#revision);
  }

  /**
   * Ends a turn with what its caller was handed; a turn that is not known is passed over. Returns whether it was known.
   */
  settle(turn: string, tokens: number): boolean {
    const maxTokens = this.#open.get(turn);
    if (maxTokens === undefined) return false;
    this.#open.delete(turn);
    this.#settled += tokens;
    if (this.#possiblyStoredTurns.has(turn)) this.#withheld.set(turn, maxTokens - tokens);
    return true;
  }

  /**
   * Sets tokens aside for the next turns when few are left, or much is held back. Returns whether the store must be told.
   */
  replenish(maxTokens: number, budget: number, aheadTurns: number): boolean {
    const isWritePending = this.#confirmed.revision < this.#revision;
    const hasEnough = this.#available >= (aheadTurns / 2) * maxTokens;
    if (isWritePending || (hasEnough && this.#withheldTokens <= aheadTurns * maxTokens)) return false;
    const ahead = tokensAhead(maxTokens, aheadTurns, budget - this.committed);
    const total = Math.max(this.#total, this.committed + ahead);
    if (total - this.committed - this.#available < maxTokens) return false;
    this.#raiseTotal(ahead);
    return true;
  }

  /** What the store must hold; with `releaseAhead`, nothing stays set aside for turns to come. */
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

  /** The store holds a snapshot. */
  markStored(snapshot: AccountSnapshot): void {
    const { revision, total } = snapshot;
    if (revision < this.#confirmed.revision) return;
    this.#confirmed = { revision, total };
    const openTurns = [snapshot, this.#newestSnapshot].flatMap((one) => one?.account.open ?? []);
    this.#possiblyStoredTurns = new Set(openTurns.map(([turn]) => turn));
    for (const turn of this.#withheld.keys())
      if (!this.#possiblyStoredTurns.has(turn)) this.#withheld.delete(turn);
  }

  /** Tokens that the store counts as spent, and that may be granted: what turns have left unused is among them. */
  get #available(): number {
    return this.#confirmed.total - this.committed - this.#withheldTokens;
  }

  get #withheldTokens(): number {
    let sum = 0;
    for (const unused of this.#withheld.values()) sum += unused;
    return sum;
  }

  /** The store must be told that at least `ahead` tokens beyond the committed ones count as spent. */
  #raiseTotal(ahead: number): void {
    this.#total = Math.max(this.#total, this.committed + ahead);
    this.#revision += 1;
  }
}

/**
 * Tokens to set aside for turns to come: those of whole turns, and never more than a part of what is left. What a lost
 * owner had set aside counts as spent, so a program must keep enough to go on after one owner's loss.
 */
function tokensAhead(maxTokens: number, aheadTurns: number, remaining: number): number {
  if (maxTokens <= 0 || remaining <= 0) return 0;
  const affordable = Math.floor((remaining * MAX_AHEAD_FRACTION) / maxTokens);
  return Math.min(aheadTurns, affordable) * maxTokens;
}

function grant(revision: number): TurnAdmission {
  return { type: "granted", revision };
}
