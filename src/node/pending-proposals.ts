import type { ProposedAt } from "../coordination/shard-group/index.ts";
import type { ApplyResult } from "../scheduling/program/program-table.ts";

/** The outcome of a proposed command. */
export type ProposalResult =
  | { readonly type: "applied"; readonly result: ApplyResult }
  /** This replica isn't the leader or lost leadership before the entry was committed. The command was not applied. */
  | { readonly type: "lost" }
  /** This replica can't learn whether the entry was committed. Only the state of a leader shows it. */
  | { readonly type: "unknown" };

/** A summary of pending proposals for the log. */
export interface PendingProposalsSummary {
  readonly count: number;
  readonly firstIndex: number;
  readonly lastIndex: number;
  readonly term: number;
  /** Age of the oldest, in ms. */
  readonly oldestMs: number;
}

interface PendingProposal {
  readonly term: number;
  readonly proposedMs: number;
  readonly resolve: (result: ProposalResult) => void;
}

/**
 * The proposals of one replica whose outcome is not known yet. A leader that loses its shard may have proposed more
 * entries than the next leader's log has, so a proposal can't rely on another entry to be applied at its index.
 */
export class PendingProposals {
  readonly #pending = new Map<number, PendingProposal>();
  #appliedTerm = 0;

  /** Adds a proposal. Resolves when its outcome is known. */
  add({ index, term }: ProposedAt, nowMs: number): Promise<ProposalResult> {
    return new Promise((resolve) => {
      this.#settle(index, { type: "lost" });
      this.#pending.set(index, { term, proposedMs: nowMs, resolve });
    });
  }

  /** Settles the proposals whose outcome an applied entry shows. Entries are applied in the order of their indexes. */
  onApplied(entry: ProposedAt, result: ApplyResult): void {
    const pending = this.#pending.get(entry.index);
    this.#settle(entry.index, pending?.term === entry.term ? { type: "applied", result } : { type: "lost" });
    if (entry.term > this.#appliedTerm) this.#onTermApplied(entry.term);
  }

  /** Settles all proposals as unknown. */
  settleAll(): void {
    for (const index of [...this.#pending.keys()]) this.#settle(index, { type: "unknown" });
  }

  /** Returns a summary; undefined if no proposal is pending. */
  summary(nowMs: number): PendingProposalsSummary | undefined {
    const indexes = [...this.#pending.keys()];
    const all = [...this.#pending.values()];
    if (all.length === 0) return undefined;
    return {
      count: all.length,
      firstIndex: Math.min(...indexes),
      lastIndex: Math.max(...indexes),
      term: Math.max(...all.map(({ term }) => term)),
      oldestMs: Math.round(nowMs - Math.min(...all.map(({ proposedMs }) => proposedMs))),
    };
  }

  /** Terms never decrease along the log, so no entry of an earlier term can be committed after one of this term. */
  #onTermApplied(term: number): void {
    this.#appliedTerm = term;
    for (const [index, pending] of [...this.#pending]) {
      if (pending.term < term) this.#settle(index, { type: "lost" });
    }
  }

  #settle(index: number, result: ProposalResult): void {
    const pending = this.#pending.get(index);
    this.#pending.delete(index);
    pending?.resolve(result);
  }
}
