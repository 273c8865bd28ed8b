import type { RunnerId } from "../ids/runner-id.ts";
import type { RunnerEntry } from "../runner-balancing/runner-entry.ts";
import type { PlaceCall } from "./place-call.ts";

/** The runners whose places a dispatcher hands out, as they are known now. */
export abstract class RunnerGroup {
  /** Runners that may take new work. */
  abstract runners(): readonly RunnerEntry[];
  /** Requests at a runner that no dispatcher placed, as far as known. */
  abstract undispatched(runner: RunnerId): number;
  /** All requests at a runner, as far as known. */
  abstract load(runner: RunnerId): number;
  /** Average time of a call at a runner, in ms; undefined while fewer than `minCalls` were seen. */
  abstract averageCallMs(minCalls: number): number | undefined;
  /** Tokens that fit into a runner's memory; undefined if the runners are not model engines. */
  abstract readonly memoryTokens: number | undefined;
  /** The best runner for a call among those that may take it. */
  abstract choose(
    call: PlaceCall,
    nowMs: number,
    mayTake: (runner: RunnerEntry) => boolean,
  ): RunnerEntry | undefined;
}
