/** What calls to a pool of runners usually take, learned from those that this node has made. Pure. */
import type { CallTiming } from "./call-timing.ts";
import { MovingAverage } from "./moving-average.ts";

/** Weight of the newest call: the averages follow a change of the work within some dozens of calls. */
const CALL_WEIGHT = 0.05;
/** Fewer calls than this say nothing of the speed at which prompts are read. */
const MIN_PROMPTS = 5;
/** A time counts as at most so many times the average: one that has waited says nothing of the reading. */
const MOST_TIMES = 2;
/** Steps are not told apart below this, in ms. */
const MIN_STEP_MS = 0.1;
/** The time for reading a prompt is not told apart from other delays below this, in ms. */
const MIN_READ_MS = 1;

/** See the module's comment. Times are those of a runner of usual speed. */
export class PoolTimes {
  readonly #steps = new MovingAverage(CALL_WEIGHT);
  /** Time of a step, by kind of work. */
  readonly #stepMs = new Map<string, MovingAverage>();
  /** Time until the first piece of the answer where the prompt was cached, and where it was not. */
  readonly #cachedMs = new MovingAverage(CALL_WEIGHT);
  readonly #uncachedMs = new MovingAverage(CALL_WEIGHT);
  readonly #uncachedTokens = new MovingAverage(CALL_WEIGHT);

  /** Steps of a call. */
  get steps(): number {
    return this.#steps.value ?? 1;
  }

  /** Tokens of a prompt that are read in a ms; undefined while that is not known. */
  get promptTokensPerMs(): number | undefined {
    const tokens = this.#uncachedTokens.value;
    const uncachedMs = this.#uncachedMs.value;
    const cachedMs = this.#cachedMs.value;
    if (tokens === undefined || uncachedMs === undefined || cachedMs === undefined) return undefined;
    if (Math.min(this.#cachedMs.count, this.#uncachedMs.count) < MIN_PROMPTS) return undefined;
    return tokens / Math.max(MIN_READ_MS, uncachedMs - cachedMs);
  }

  /**
   * Takes in a call that went well.
   *
   * @param slowness of its runner against the usual one
   * @returns the time of a step as if all kinds of work took the same, in ms
   */
  observe(timing: CallTiming, slowness: number, hadPlace: boolean): number {
    this.#steps.add(timing.steps);
    if (hadPlace && timing.promptTokens !== undefined) this.#observePrompt(timing, slowness);
    const usual = this.#stepMs.get(timing.work) ?? new MovingAverage(CALL_WEIGHT);
    this.#stepMs.set(timing.work, usual);
    const stepMs = stepMsOf(timing);
    usual.add(stepMs);
    return (stepMs * this.#meanStepMs()) / (usual.value ?? stepMs);
  }

  #observePrompt({ wasCached, firstMs, promptTokens = 0 }: CallTiming, slowness: number): void {
    const average = wasCached ? this.#cachedMs : this.#uncachedMs;
    const usualMs = firstMs / slowness;
    average.add(Math.min(usualMs, MOST_TIMES * (average.value ?? usualMs)));
    if (!wasCached) this.#uncachedTokens.add(promptTokens);
  }

  /** Over kinds of work, each counted once: the same at nodes to which different kinds come. */
  #meanStepMs(): number {
    let sum = 0;
    for (const { value = 0 } of this.#stepMs.values()) sum += value;
    return sum / this.#stepMs.size;
  }
}

/** The first piece of a stream ends no step that was seen from its beginning. */
function stepMsOf({ workMs, steps }: CallTiming): number {
  return Math.max(MIN_STEP_MS, workMs / Math.max(1, steps - 1));
}
