/** Answers that ended early at runners which were not seen to have ended. Later news of the runner may show that it had. */
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { ReportedRun } from "../gateway-messages.ts";

interface UnconfirmedBreak {
  readonly run: ReportedRun;
  readonly expiresAtMs: number;
}

/** How long news of the runner may take, in ms: its entry stays for some heartbeats. */
const UNCONFIRMED_TTL_MS = 10_000;
const MAX_UNCONFIRMED = 2_000;

export class UnconfirmedBreaks {
  #breaks: UnconfirmedBreak[] = [];

  add(run: ReportedRun, nowMs: number): void {
    this.#breaks = this.#breaks.filter(({ expiresAtMs }) => expiresAtMs > nowMs).slice(1 - MAX_UNCONFIRMED);
    this.#breaks.push({ run, expiresAtMs: nowMs + UNCONFIRMED_TTL_MS });
  }

  /** Removes and returns the runs at a runner of which it is known now that it has ended. */
  take(runner: RunnerId, nowMs: number): ReportedRun[] {
    const current = this.#breaks.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
    this.#breaks = current.filter(({ run }) => run.runner !== runner);
    return current.map(({ run }) => run).filter((run) => run.runner === runner);
  }
}
