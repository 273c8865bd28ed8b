/** Average times of calls to a pool of runners, measured on the calls of this gateway. Pure. */
import type { CallTiming } from "./call-timing.ts";
import { MovingAverage } from "./moving-average.ts";

/** Weight of the newest call in the averages: they follow a change of the workload within some dozens of calls. */
const CALL_WEIGHT = 0.05;
/** Minimum number of calls, with and without a cached prompt, from which the prefill speed is estimated. */
const MIN_PROMPT_SAMPLES = 5;
/**
 * A time counts as at most this multiple of the average, since the time of a call that has waited says nothing about the
 * prefill.
 */
const MAX_AVERAGE_MULTIPLE = 2;
/** Shorter steps count as this long, in ms. */
const MIN_STEP_MS = 0.1;
/** Shorter prefill times count as this long, in ms: they cannot be distinguished from other delays. */
const MIN_PREFILL_MS = 1;

/** Moving averages over the calls to one pool. Prefill times are scaled to a runner of median pace. */
export class PoolTimes {
  readonly #steps = new MovingAverage(CALL_WEIGHT);
  /** Time of a step, keyed by kind of work. */
  readonly #stepMs = new Map<string, MovingAverage>();
  /** Time until the first chunk of the answer, for calls with a cached prompt and for all others. */
  readonly #cachedFirstChunkMs = new MovingAverage(CALL_WEIGHT);
  readonly #uncachedFirstChunkMs = new MovingAverage(CALL_WEIGHT);
  readonly #uncachedPromptTokens = new MovingAverage(CALL_WEIGHT);

  /** Average number of steps of a call. */
  get steps(): number {
    return this.#steps.value ?? 1;
  }

  /** Prefill speed in tokens per ms; undefined while it is not known. */
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
   * Records a successful call.
   *
   * @param slowness pace of its runner relative to the pool's median
   * @param hadFreeSlot whether the runner had a free slot when the call was sent
   * @returns the time of a step in ms, normalized for the kind of work
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

  /**
   * The mean over the kinds of work, each counted once, so that it is the same at gateways that get different mixes of work.
   */
  #meanStepMs(): number {
    let sum = 0;
    for (const { value = 0 } of this.#stepMs.values()) sum += value;
    return sum / this.#stepMs.size;
  }
}

/** The time of one step. The first chunk of a stream is not counted, because the beginning of its step was not observed. */
function stepMsOf({ workMs, steps }: CallTiming): number {
  return Math.max(MIN_STEP_MS, workMs / Math.max(1, steps - 1));
}
