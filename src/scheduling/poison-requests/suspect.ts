/** A request under which runners have ended, which may have been run to its end since then. */
import type { RunnerId } from "../ids/runner-id.ts";
import type { EndedRunners } from "./ended-runners.ts";

const MAX_EXCUSED = 100;

export class Suspect {
  /** The runners that have ended under it since it was last run to its end. */
  readonly #lost = new Set<RunnerId>();
  /** Those that had ended before: reports of them may still arrive. */
  readonly #excused = new Set<RunnerId>();
  expiresAtMs = 0;

  get lost(): readonly RunnerId[] {
    return [...this.#lost];
  }

  /** Adds runners that have ended under it; returns whether any of them was not known. */
  add(runners: readonly RunnerId[]): boolean {
    const before = this.#lost.size;
    for (const runner of runners) if (!this.#excused.has(runner)) this.#lost.add(runner);
    return this.#lost.size > before;
  }

  /** Records that it was run to its end: the runners that ended under it before do not count any more. */
  excuse(): void {
    for (const runner of this.#lost) this.#excused.add(runner);
    this.#lost.clear();
    for (const runner of this.#excused) {
      if (this.#excused.size <= MAX_EXCUSED) return;
      this.#excused.delete(runner);
    }
  }

  /** Whether it may be the cause of an end: not all of the runners ended together with others. */
  mayBeCause(ended: EndedRunners): boolean {
    return this.lost.some((runner) => !ended.hasEndedWithOthers(runner));
  }
}
