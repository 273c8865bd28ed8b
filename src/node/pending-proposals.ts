import type { ProposedAt } from "../coordination/shard-group/index.ts";
import type { ApplyResult } from "../scheduling/program/program-table.ts";

/** The outcome of a proposed command. */
export type ProposalResult =
  | { readonly type: "applied"; readonly result: ApplyResult }
  /** This replica isn't the leader or lost leadership before the entry was committed. The command was not applied. */
  | { readonly type: "lost" }
  /** A snapshot replaced the entry. Only the state shows whether the command was applied. */
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

/** The proposals of one replica whose outcome is not known yet. */
export class PendingProposals {
  readonly #pending = new Map<number, PendingProposal>();

  /** Adds a proposal. Resolves when its outcome is known. */
  add({ index, term }: ProposedAt, nowMs: number): Promise<ProposalResult> {
    return new Promise((resolve) => {
      this.#settle(index, { type: "lost" });
      this.#pending.set(index, { term, proposedMs: nowMs, resolve });
    });
  }

  /** Settles the proposal at the index of an applied entry. */
  onApplied(entry: ProposedAt, result: ApplyResult): void {
    const pending = this.#pending.get(entry.index);
    if (!pending) return;
    this.#settle(entry.index, pending.term === entry.term ? { type: "applied", result } : { type: "lost" });
  }

  /** Settles the proposals that a snapshot covers. Only the state shows whether they were applied. */
  onRestored(lastIndex: number): void {
    for (const index of [...this.#pending.keys()]) {
      if (index <= lastIndex) this.#settle(index, { type: "unknown" });
    }
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

  #settle(index: number, result: ProposalResult): void {
    const pending = this.#pending.get(index);
    this.#pending.delete(index);
    pending?.resolve(result);
  }
}
