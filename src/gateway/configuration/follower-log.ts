/**
 * Logs when a table can't be followed: one line when calls begin to fail, and one when they succeed again, however many
 * calls failed in between.
 */
import type { Logger } from "pino";

/** A store call for the table that was refused or not answered. */
export interface FailedTableCall {
  readonly call: "read" | "watch";
  /** Names the route to the store and the result. */
  readonly detail: string;
  /** How long the call lasted, in ms. */
  readonly lastedMs: number;
}

export class FollowerLog {
  readonly #log: Logger;
  readonly #table: string;
  #failures = 0;
  #longest: FailedTableCall | undefined;

  constructor(log: Logger, table: string) {
    this.#log = log;
    this.#table = table;
  }

  failed(failed: FailedTableCall): void {
    this.#failures += 1;
    if (!this.#longest || failed.lastedMs > this.#longest.lastedMs) this.#longest = failed;
    if (this.#failures === 1) this.#log.info({ table: this.#table, ...failed }, "table not followed");
  }

  /** @param behindMs upper bound on how outdated the known table was, in ms */
  followed(behindMs: number): void {
    if (this.#failures === 0) return;
    const failures = this.#failures;
    this.#log.info(
      { table: this.#table, failures, behindMs, longest: this.#longest },
      "table followed again",
    );
    this.#failures = 0;
    this.#longest = undefined;
  }
}
