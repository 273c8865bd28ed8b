/**
 * What an operator reads when news of a table stays away: one line when following it begins to fail, and one when it
 * works again, however many calls failed in between.
 */
import type { Logger } from "pino";

/** A call for the table that was refused or not answered. */
export interface FailedTableCall {
  readonly call: "read" | "watch";
  /** Names the way to the store and what it gave. */
  readonly detail: string;
  /** How long the call lasted, in ms. */
  readonly lastedMs: number;
}

/** See the module's comment. */
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

  /** @param behindMs for how long nothing newer of the table can have been known, in ms */
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
