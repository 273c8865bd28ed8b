import type { Member } from "./member.ts";

/** Replication state that a leader keeps for one other replica. */
export class FollowerProgress {
  readonly member: Member;
  /** Index of the next entry to send; may be ahead of the acknowledged entries. */
  nextIndex: number;
  /** Index of the last entry that the replica is known to have. */
  matchIndex = 0;
  /** When the replica last responded in this term, or else when the leader began to send to it. */
  lastResponseMs: number;
  /** Whether the replica has responded in this term. Until then, `matchIndex` says nothing about it. */
  hasResponded = false;
  /** When a snapshot was last requested for the replica; limits how often one replica causes a snapshot. */
  snapshotRequestedMs = Number.NEGATIVE_INFINITY;
  /** Index from which entries were sent again after the last rejection, and when. */
  #resentFrom = Number.POSITIVE_INFINITY;
  #resentMs = Number.NEGATIVE_INFINITY;

  constructor(member: Member, nextIndex: number, nowMs: number) {
    this.member = member;
    this.nextIndex = nextIndex;
    this.lastResponseMs = nowMs;
  }

  /** Records that the replica has every entry up to `matchIndex`. */
  acknowledge(matchIndex: number): void {
    this.matchIndex = Math.max(this.matchIndex, matchIndex);
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
    if (this.matchIndex >= this.#resentFrom) this.#resentFrom = Number.POSITIVE_INFINITY;
  }

  /**
   * Records that the replica lacks the entry before `nextIndex`; its log matches up to `hintIndex` at most. After a gap,
   * the replica rejects every message that was in flight. Only the first rejection makes the leader send entries again,
   * until `retryAfterMs` has passed: then those entries may be lost too.
   */
  reject(hintIndex: number, nowMs: number, retryAfterMs: number): void {
    const retryFrom = Math.max(this.matchIndex, hintIndex) + 1;
    if (retryFrom >= this.#resentFrom && nowMs - this.#resentMs < retryAfterMs) return;
    this.#resentFrom = retryFrom;
    this.#resentMs = nowMs;
    this.nextIndex = Math.min(this.nextIndex, retryFrom);
  }
}
