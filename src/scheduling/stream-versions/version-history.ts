/**
 * Which software versions the runners of each pool have had. While a pool has had a single version for longer than a stream
 * lasts, every stream of the pool began at that version, and nobody needs to remember it.
 */
import type { SoftwareVersion } from "../ids/software-version.ts";

/** A read may wait for changes as long as the time between two reads, and counts from its start. */
const MAX_AGE_IN_GAPS = 2;

/** The version of one listed runner. */
export interface ListedVersion {
  readonly pool: string;
  readonly version: SoftwareVersion;
}

export class VersionHistory {
  readonly #maxGapMs: number;
  /** When each version of each pool was last listed, in ms of the monotonic clock. */
  readonly #lastListedAtMs = new Map<string, Map<SoftwareVersion, number>>();
  #readAtMs = Number.NEGATIVE_INFINITY;
  /** Since when the list has been read without a gap. */
  #followedSinceMs = Number.POSITIVE_INFINITY;

  /** @param maxGapMs maximum time between two reads of the list, in ms; in a longer gap, a version may have gone unseen */
  constructor(maxGapMs: number) {
    this.#maxGapMs = maxGapMs;
  }

  /** Records the list as it was at or after `readAtMs`. */
  recordList(runners: readonly ListedVersion[], readAtMs: number): void {
    if (readAtMs - this.#readAtMs > this.#maxGapMs) this.#followedSinceMs = readAtMs;
    this.#readAtMs = Math.max(this.#readAtMs, readAtMs);
    for (const { pool, version } of runners) {
      const versions = this.#lastListedAtMs.get(pool) ?? new Map<SoftwareVersion, number>();
      this.#lastListedAtMs.set(pool, versions);
      versions.set(version, this.#readAtMs);
    }
  }

  /**
   * The only version that a pool's runners have had for `spanMs`. Undefined if they had several, and if the list was not
   * followed for that long.
   */
  onlyVersion(pool: string, spanMs: number, nowMs: number): SoftwareVersion | undefined {
    const isCurrent = nowMs - this.#readAtMs <= MAX_AGE_IN_GAPS * this.#maxGapMs;
    if (!isCurrent || nowMs - this.#followedSinceMs < spanMs) return undefined;
    const recent = this.#recentVersions(pool, spanMs, nowMs);
    return recent.length === 1 ? recent[0] : undefined;
  }

  /** Whether a pool's runners are known to have had another version within the last `spanMs`. */
  hasSeenOther(pool: string, version: SoftwareVersion, spanMs: number, nowMs: number): boolean {
    return this.#recentVersions(pool, spanMs, nowMs).some((other) => other !== version);
  }

  #recentVersions(pool: string, spanMs: number, nowMs: number): SoftwareVersion[] {
    const versions = this.#lastListedAtMs.get(pool);
    if (!versions) return [];
    const sinceMs = nowMs - spanMs - MAX_AGE_IN_GAPS * this.#maxGapMs;
    for (const [version, listedAtMs] of versions) if (listedAtMs < sinceMs) versions.delete(version);
    return [...versions.keys()];
  }
}
