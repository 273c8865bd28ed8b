/**
 * Spreads a snapshot that few members read at its source: a list that everybody needs fresh, and that its source could
 * not give to everybody. News carries only a digest and the age of the reading, and is only a hint: who hears of a
 * fresher reading asks the sender, and reckons the age from when it asked.
 *
 * Guarantee: the age that {@link ageMs} gives is never less than the time since somebody read the source and found
 * this content, however long messages were on their way and however long the process was paused meanwhile.
 */

/** What is told to others about a reading. */
export interface SnapshotAnnouncement {
  readonly digest: string;
  /** Time since the reading began, in ms. */
  readonly ageMs: number;
}

/** See the module's comment. */
export class SnapshotRelay {
  readonly #minGainMs: number;
  #digest = "";
  #readAtMs = Number.NEGATIVE_INFINITY;

  /** @param minGainMs how much fresher a reading of the same content must be to be worth asking for, in ms */
  constructor(minGainMs: number) {
    this.#minGainMs = minGainMs;
  }

  /** The digest of the content that is held. */
  get digest(): string {
    return this.#digest;
  }

  /** Time since the source was read for what is held, in ms. */
  ageMs(nowMs: number): number {
    return nowMs - this.#readAtMs;
  }

  /** Whether a reading is newer than what is held; content of an older one must not be taken. */
  isNewer(readAtMs: number): boolean {
    return readAtMs > this.#readAtMs;
  }

  /** This member has read the source itself. Returns what to tell others. */
  recordRead(digest: string, readAtMs: number, nowMs: number): SnapshotAnnouncement {
    this.#replaceIfNewer(digest, readAtMs);
    return { digest, ageMs: this.ageMs(nowMs) };
  }

  /** Another member told of a reading. Returns whether to ask that member for it. */
  shouldRequest(news: SnapshotAnnouncement, nowMs: number): boolean {
    const gainMs = this.ageMs(nowMs) - news.ageMs;
    return news.digest === this.#digest ? gainMs >= this.#minGainMs : gainMs > 0;
  }

  /**
   * Another member answered with its reading. Returns what to tell others.
   *
   * @param askedAtMs when the question was sent: the age in the answer was true at that time or later
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
