/**
 * Runners that may have started again since they last wrote their entry. A runner may start again under its name and at its
 * address with another software version. Until its next entry is read, only the end of its connections tells of that.
 */
import type { RunnerId } from "../ids/runner-id.ts";

export class RestartDoubts {
  /** When connections to a runner last ended, in ms of the monotonic clock. */
  readonly #endedAtMs = new Map<RunnerId, number>();

  /** Records that a runner has ended a connection. */
  recordEnd(id: RunnerId, nowMs: number): void {
    this.#endedAtMs.set(id, nowMs);
  }

  /** Records that a start of a runner has written its entry at or after `writtenAfterMs`, and so was still running. */
  recordEntry(id: RunnerId, writtenAfterMs: number): void {
    const endedAtMs = this.#endedAtMs.get(id);
    if (endedAtMs !== undefined && writtenAfterMs > endedAtMs) this.#endedAtMs.delete(id);
  }

  /** Forgets a runner that is no longer listed. */
  remove(id: RunnerId): void {
    this.#endedAtMs.delete(id);
  }

  /** Whether a runner may have started again unnoticed. */
  mayHaveRestarted(id: RunnerId): boolean {
    return this.#endedAtMs.has(id);
  }
}
