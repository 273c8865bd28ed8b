/** How a turn was retained before its answer ended. */
export interface RetentionRecord {
  /** Where the turn is held: `nobody` means that the store did not confirm the write in time. */
  readonly heldBy: "store" | "nobody";
  /** Time from the arrival of the call until the end of its answer began to wait for the write, in ms. */
  readonly atMs: number;
  /** How long the end of the answer waited, in ms; undefined if the call ended first. */
  readonly elapsedMs?: number;
}
