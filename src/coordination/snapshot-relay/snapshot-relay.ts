/**
 * Distributes a snapshot that only a few members read from its source, such as a list that all members need fresh but
 * that the source could not serve to all of them. An announcement contains only a digest and the age of the read, and
 * is only a hint: a member that learns of a fresher read requests it from the sender, and computes its age from the
 * time of the request.
 *
 * Guarantee: the age returned by {@link SnapshotRelay.ageMs} is never less than the time since a member read this
 * content from the source, however long messages took and however long the process was paused.
 */

/** What a member announces to others about a read. */
export interface SnapshotAnnouncement {
  readonly digest: string;
  /** Time since the read began, in ms. */
  readonly ageMs: number;
}

/** Tracks the digest and the age of the snapshot that this member holds. */
export class SnapshotRelay {
  readonly #minGainMs: number;
  #digest = "";
  #readAtMs = Number.NEGATIVE_INFINITY;

  /** @param minGainMs how much fresher a read of the same content must be before it is requested, in ms */
  constructor(minGainMs: number) {
    this.#minGainMs = minGainMs;
  }

  /** Digest of the content held. */
  get digest(): string {
    return this.#digest;
  }

  /** Returns the time since the content held was read from the source, in ms. */
  ageMs(nowMs: number): number {
    return nowMs - this.#readAtMs;
  }

  /** Returns whether a read is newer than the content held. The content of an older read must be ignored. */
  isNewer(readAtMs: number): boolean {
    return readAtMs > this.#readAtMs;
  }

  /** Records that this member has read the source itself. Returns the announcement for the other members. */
  recordRead(digest: string, readAtMs: number, nowMs: number): SnapshotAnnouncement {
    this.#replaceIfNewer(digest, readAtMs);
    return { digest, ageMs: this.ageMs(nowMs) };
  }

  /** Returns whether to request the read that another member has announced. */
  shouldRequest(news: SnapshotAnnouncement, nowMs: number): boolean {
    const gainMs = this.ageMs(nowMs) - news.ageMs;
    return news.digest === this.#digest ? gainMs >= this.#minGainMs : gainMs > 0;
  }

  /**
   * Adopts the read that another member sent on request. Returns the announcement for the other members.
   *
   * @param askedAtMs time at which the request was sent; the age in the answer was measured at that time or later
   */
  adopt(answer: SnapshotAnnouncement, askedAtMs: number, nowMs: number): SnapshotAnnouncement {
    this.#replaceIfNewer(answer.digest, askedAtMs - answer.ageMs);
    return { digest: this.#digest, ageMs: this.ageMs(nowMs) };
  }

  #replaceIfNewer(digest: string, readAtMs: number): void {
    if (readAtMs < this.#readAtMs) return;
    this.#digest = digest;
    this.#readAtMs = readAtMs;
  }
}
