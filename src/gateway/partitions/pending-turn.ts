/** A retained turn to be written to the store, with the store parts for which it is queued. */
import type { TurnRow } from "./turn-rows.ts";

/** Tracks where a turn is queued, and reports once whether it was written. */
export class PendingTurn {
  /** Parts of the store that may hold the turn, in the order in which they are tried. */
  readonly parts: readonly string[];
  /** Time on the monotonic clock after which the write is given up, in ms. */
  readonly deadlineMs: number;
  /** Total size of the turn's rows, in bytes. */
  readonly bytes: number;
  readonly #rows: readonly TurnRow[];
  readonly #settle: (written: boolean) => void;
  readonly #queuedParts = new Set<string>();
  #isSettled = false;

  constructor(
    parts: readonly string[],
    rows: readonly TurnRow[],
    deadlineMs: number,
    settle: (written: boolean) => void,
  ) {
    this.parts = parts;
    this.deadlineMs = deadlineMs;
    this.bytes = rows.reduce((sum, row) => sum + row.value.length, 0);
    this.#rows = rows;
    this.#settle = settle;
  }

  /** Whether the result of the write is known. */
  get isSettled(): boolean {
    return this.#isSettled;
  }

  /** Parts for which the turn is queued or in flight. */
  get queuedParts(): ReadonlySet<string> {
    return this.#queuedParts;
  }

  get rowCount(): number {
    return this.#rows.length;
  }

  /** Returns the turn's rows with the keys that they have in one of its parts. */
  rowsIn(part: string): TurnRow[] {
    return this.#rows.map((row) => ({ ...row, part }));
  }

  /** Records that the turn is queued for another part. */
  addQueuedPart(part: string): void {
    this.#queuedParts.add(part);
  }

  /** Records that a part of the store has the turn. */
  markWritten(): void {
    this.#settleOnce(true);
  }

  /** Records that a part did not accept the turn before the deadline. The write fails if no other part is left. */
  markFailedAt(part: string): void {
    this.#queuedParts.delete(part);
    if (this.#queuedParts.size === 0) this.#settleOnce(false);
  }

  #settleOnce(isWritten: boolean): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#settle(isWritten);
  }
}
