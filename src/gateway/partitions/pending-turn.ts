/** A turn on its way to the store, and the parts at which it waits. */
import type { TurnRow } from "./turn-rows.ts";

/** See the module's comment. */
export class PendingTurn {
  /** Parts that may hold the turn, in the order in which they are tried. */
  readonly parts: readonly string[];
  /** When nobody waits for the turn any more, in ms of the monotonic clock. */
  readonly deadlineMs: number;
  /** Bytes of all rows together. */
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

  /** Whether it is known how the turn ended. */
  get isSettled(): boolean {
    return this.#isSettled;
  }

  /** Parts at which the turn waits. */
  get queuedParts(): ReadonlySet<string> {
    return this.#queuedParts;
  }

  get rowCount(): number {
    return this.#rows.length;
  }

  /** The rows of the turn in one of its parts. */
  rowsIn(part: string): TurnRow[] {
    return this.#rows.map((row) => ({ ...row, part }));
  }

  /** The turn waits at one more part. */
  addQueuedPart(part: string): void {
    this.#queuedParts.add(part);
  }

  /** The store holds the turn. */
  markWritten(): void {
    this.#settleOnce(true);
  }

  /** A part has not taken the turn in time; when it waits at no other, it is not written. */
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
