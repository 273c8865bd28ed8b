/** Knows in which pools of runners answers usually end with their connection, with nothing else to tell their end. Pure. */
import { MovingAverage } from "./moving-average.ts";

/** Weight of the newest answer: a change shows within some dozens of answers. */
const ANSWER_WEIGHT = 0.05;
/** Fewer answers say nothing about a pool. */
const MIN_ANSWERS = 16;
const USUAL_FROM_FRACTION = 0.8;

export class ConnectionEnds {
  readonly #fractions = new Map<string, MovingAverage>();

  /** Records the end of a whole or unclear answer of a pool's runner. */
  record(pool: string, isByConnection: boolean): void {
    const fraction = this.#fractions.get(pool) ?? new MovingAverage(ANSWER_WEIGHT);
    this.#fractions.set(pool, fraction);
    fraction.add(isByConnection ? 1 : 0);
  }

  /** Whether nearly all of the pool's answers end with their connection, so that such an end says nothing about a runner. */
  areUsual(pool: string): boolean {
    const fraction = this.#fractions.get(pool);
    if (fraction === undefined || fraction.count < MIN_ANSWERS) return false;
    return (fraction.value ?? 0) >= USUAL_FROM_FRACTION;
  }
}
