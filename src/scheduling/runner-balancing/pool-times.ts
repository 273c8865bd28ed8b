/** What calls to a pool of runners usually take, learned from those that this node has made. Pure. */
import type { CallTiming } from "./call-timing.ts";
import { MovingAverage } from "./moving-average.ts";

/** Weight of the newest call: the averages follow a change of the work within some dozens of calls. */
const CALL_WEIGHT = 0.05;
/** Fewer calls than this say nothing of the speed at which prompts are read. */
const MIN_PROMPT_SAMPLES = 5;
/** A time counts as at most so many times the average: one that has waited says nothing of the reading. */
const MAX_AVERAGE_MULTIPLE = 2;
/** Steps are not told apart below this, in ms. */
const MIN_STEP_MS = 0.1;
/** The time for reading a prompt is not told apart from other delays below this, in ms. */
const MIN_PREFILL_MS = 1;

/** See the module's comment. Times are those of a runner of usual speed. */
export class PoolTimes {
  readonly #steps = new MovingAverage(CALL_WEIGHT);
  /** Time of a step, by kind of work. */
  readonly #stepMs = new Map<string, MovingAverage>();
  /** Time until the first piece of the answer where the prompt was cached, and where it was not. */
  readonly #cachedFirstChunkMs = new MovingAverage(CALL_WEIGHT);
  readonly #uncachedFirstChunkMs = new MovingAverage(CALL_WEIGHT);
  readonly #uncachedPromptTokens = new MovingAverage(CALL_WEIGHT);

  /** Steps of a call. */
  get steps(): number {
    return this.#steps.value ?? 1;
  }

  /** Tokens of a prompt that are read in a ms; undefined while that is not known. */
  get promptTokensPerMs(): number | undefined {
    const tokens = this.#uncachedPromptTokens.value;
    const uncachedMs = this.#uncachedFirstChunkMs.value;
    const cachedMs = this.#cachedFirstChunkMs.value;
    if (tokens === undefined || uncachedMs === undefined || cachedMs === undefined) return undefined;
    if (Math.min(this.#cachedFirstChunkMs.count, this.#uncachedFirstChunkMs.count) < MIN_PROMPT_SAMPLES)
      return undefined;
    return tokens / Math.max(MIN_PREFILL_MS, uncachedMs - cachedMs);
  }

  /**
   * Takes in a call that went well.
   *
   * @param slowness of its runner against the usual one
   * @returns the time of a step as if all kinds of work took the same, in ms
   */
  observe(timing: CallTiming, slowness: number, hadFreeSlot: boolean): number {
    this.#steps.add(timing.steps);
    if (hadFreeSlot && timing.promptTokens !== undefined) this.#observePrompt(timing, slowness);
    const average = this.#stepMs.get(timing.work) ?? new MovingAverage(CALL_WEIGHT);
    this.#stepMs.set(timing.work, average);
    const stepMs = stepMsOf(timing);
    average.add(stepMs);
    return (stepMs * this.#meanStepMs()) / (average.value ?? stepMs);
  }

  #observePrompt({ wasCached, firstChunkMs, promptTokens = 0 }: CallTiming, slowness: number): void {
    const average = wasCached ? this.#cachedFirstChunkMs : this.#uncachedFirstChunkMs;
    const normalizedMs = firstChunkMs / slowness;
    average.add(Math.min(normalizedMs, MAX_AVERAGE_MULTIPLE * (average.value ?? normalizedMs)));
    if (!wasCached) this.#uncachedPromptTokens.add(promptTokens);
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
