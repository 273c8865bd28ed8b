/** A request under which runners have ended. */
import type { RunnerId } from "../ids/runner-id.ts";
import type { EndedRunners } from "./ended-runners.ts";

export class Suspect {
  /** The runners that have ended under it. */
  readonly #lost = new Set<RunnerId>();
  expiresAtMs = 0;

  get lost(): readonly RunnerId[] {
    return [...this.#lost];
  }

  /** Adds runners that have ended under it; returns whether any of them was not known. */
  add(runners: readonly RunnerId[]): boolean {
    const before = this.#lost.size;
    for (const runner of runners) this.#lost.add(runner);
    return this.#lost.size > before;
  }

  /** Whether it may be the cause of an end: not all of the runners ended together with others. */
  mayBeCause(ended: EndedRunners): boolean {
    return this.lost.some((runner) => !ended.hasEndedWithOthers(runner));
  }
}
