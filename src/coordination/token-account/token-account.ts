/**
 * The count of tokens of one program, at the owner of its partition. Tokens are set aside in the store before they are
 * granted, so that a new owner, which finds only what was stored, never grants them twice. Pure.
 */

/** Largest part of what is left of a budget that is set aside for turns to come. */
const AHEAD_PART = 0.5;

/** What is stored of an account. Everything in it counts as spent until a turn is settled. */
export interface StoredAccount {
  /** Tokens of turns that have ended. */
  readonly settled: number;
  /** Tokens that are set aside for turns to come. */
  readonly ahead: number;
  /** Turns under way, with the most that each may generate. */
  readonly open: readonly (readonly [turn: string, most: number])[];
}

/** What the store must hold, and its place in the order of the account's changes. */
export interface AccountSnapshot {
  readonly revision: number;
  readonly account: StoredAccount;
}

/** Whether a turn may run. */
export type TurnGrant =
  /** It may, once the store holds a snapshot of at least this revision. */
  | { readonly type: "granted"; readonly revision: number }
  | { readonly type: "exhausted"; readonly spent: number };

/** See the module's comment. */
export class TokenAccount {
  #settled: number;
  /** Tokens that are set aside and that no turn uses. */
  #ahead = 0;
  readonly #open: Map<string, number>;
  /** Counts the changes that the store must know of before anything more is granted. */
  #revision = 0;
  #storedRevision = 0;

  constructor(stored?: StoredAccount) {
    // What a lost owner had set aside may have been granted by it: it counts as spent.
    this.#settled = (stored?.settled ?? 0) + (stored?.ahead ?? 0);
    this.#open = new Map(stored?.open ?? []);
  }

  /** Tokens that count as spent: settled ones, and the most of every turn under way. */
  get committed(): number {
    let sum = this.#settled;
    for (const most of this.#open.values()) sum += most;
    return sum;
  }

  /** Whether tokens are set aside that no turn uses. */
  get holdsAhead(): boolean {
    return this.#ahead > 0;
  }

  /** Whether the program has turns under way. */
  get busy(): boolean {
    return this.#open.size > 0;
  }

  /** Whether the store holds a snapshot of at least this revision. */
  holds(revision: number): boolean {
    return this.#storedRevision >= revision;
  }

  /** Whether the store lacks a change that grants wait for. */
  get behind(): boolean {
    return this.#storedRevision < this.#revision;
  }

  /**
   * Asks for a turn. The same turn may ask again and gets the same answer.
   *
   * @param most the most tokens that the turn may generate
   * @param budget all tokens that the program's turns may generate
   * @param aheadTurns for how many turns more tokens are set aside along with this one
   */
  admit(turn: string, most: number, budget: number, aheadTurns: number): TurnGrant {
    if (this.#open.has(turn)) return { type: "granted", revision: this.#revision };
    const committed = this.committed;
    if (committed + most > budget) return { type: "exhausted", spent: committed };
    this.#open.set(turn, most);
    if (this.#ahead >= most && !this.behind) {
      this.#ahead -= most;
      return { type: "granted", revision: this.#storedRevision };
    }
    this.#ahead = tokensAhead(most, aheadTurns, budget - committed - most);
    this.#revision += 1;
    return { type: "granted", revision: this.#revision };
  }

  /**
   * Ends a turn with what its caller was handed; a turn that is not known is passed over. Returns whether it was known.
   */
  settle(turn: string, tokens: number): boolean {
    if (!this.#open.delete(turn)) return false;
    this.#settled += tokens;
    return true;
  }

  /** Sets tokens aside for the next turns when too few are left. Returns whether the store must be told. */
  replenish(most: number, budget: number, aheadTurns: number): boolean {
    if (this.behind || this.#ahead >= most) return false;
    const wanted = tokensAhead(most, aheadTurns, budget - this.committed);
    if (wanted <= this.#ahead) return false;
    this.#ahead = wanted;
    this.#revision += 1;
    return true;
  }

  /** What the store must hold; with `releaseAhead`, nothing stays set aside for turns to come. */
  snapshot(releaseAhead = false): AccountSnapshot {
    const ahead = releaseAhead ? 0 : this.#ahead;
    return {
      revision: this.#revision,
      account: { settled: this.#settled, ahead, open: [...this.#open] },
    };
  }

  /** The store holds a snapshot of this revision. */
  stored(revision: number): void {
    this.#storedRevision = Math.max(this.#storedRevision, revision);
  }
}

/**
 * Tokens to set aside for turns to come: those of whole turns, and never more than a part of what is left. What a lost
 * owner had set aside counts as spent, so a program must keep enough to go on after one owner's loss.
 */
function tokensAhead(most: number, aheadTurns: number, left: number): number {
  if (most <= 0 || left <= 0) return 0;
  const affordable = Math.floor((left * AHEAD_PART) / most);
  return Math.min(aheadTurns, affordable) * most;
}
