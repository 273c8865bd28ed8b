import type { RunnerId } from "../ids/runner-id.ts";
import type { RunnerEntry } from "../runner-balancing/runner-entry.ts";
import type { PlaceCall } from "./place-call.ts";

/** The runners whose places a dispatcher hands out, as it knows them now. */
export abstract class RunnerGroup {
  /** Those that may take new work. */
  abstract runners(): readonly RunnerEntry[];
  /** Requests at a runner that no dispatcher placed, as far as is known. */
  abstract unplaced(runner: RunnerId): number;
  /** All requests at a runner, as far as is known. */
  abstract load(runner: RunnerId): number;
  /** How long a call usually takes at a runner, in ms; undefined while fewer than `leastCalls` were seen. */
  abstract usualMs(leastCalls: number): number | undefined;
  /** Tokens that fit into a runner's memory; undefined where the runners are no model engines. */
  abstract readonly memoryTokens: number | undefined;
  /** The best runner for a call among those that may take it. */
  abstract choose(
    call: PlaceCall,
    nowMs: number,
    mayTake: (runner: RunnerEntry) => boolean,
  ): RunnerEntry | undefined;
}
