import type { Member } from "./member.ts";

/** What a leader knows of one other replica. */
export class FollowerProgress {
  readonly member: Member;
  /** Next entry to send; runs ahead of what is acknowledged. */
  nextIndex: number;
  /** Last entry known to be held. */
  matchIndex = 0;
  /** When the replica last answered in this term. */
  lastResponseMs: number;
  /** When a snapshot was last asked for, so that one replica does not cause a storm of them. */
  snapshotRequestedMs = Number.NEGATIVE_INFINITY;

  constructor(member: Member, nextIndex: number, nowMs: number) {
    this.member = member;
    this.nextIndex = nextIndex;
    this.lastResponseMs = nowMs;
  }

  /** The replica holds everything up to `matchIndex`. */
  acknowledge(matchIndex: number): void {
    this.matchIndex = Math.max(this.matchIndex, matchIndex);
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
  }

  /** The replica lacks the entry before `nextIndex`; it could match at most `hintIndex`. */
  reject(hintIndex: number): void {
    const retryFrom = Math.max(this.matchIndex, hintIndex) + 1;
    this.nextIndex = Math.min(this.nextIndex, retryFrom);
  }
}
