import type { CallTiming } from "./call-timing.ts";
import type { RunnerCandidate } from "./runner-candidate.ts";
import type { RunnerCriteria } from "./runner-criteria.ts";
import type { RunnerLoads } from "./runner-loads.ts";

/** What a request costs at a runner: the least is chosen. */
export type CostFunction = (candidate: RunnerCandidate, index: number) => number;

/** How runners are weighed against each other. */
export abstract class RunnerCostModel {
  /** Whether the paces that this node sees are told to others. */
  abstract readonly sharesPaces: boolean;

  /** Of more runners than this, only so many are weighed, drawn at random, and the one that is preferred. */
  abstract readonly maxCandidates: number;

  /** The cost of one request at each of some runners. */
  abstract costFunction(
    candidates: readonly RunnerCandidate[],
    criteria: RunnerCriteria,
    loads: RunnerLoads,
  ): CostFunction;

  /** In how many ms a request is expected to be over at a runner; undefined where that is not estimated. */
  abstract expectedMs(
    candidate: RunnerCandidate,
    criteria: RunnerCriteria,
    loads: RunnerLoads,
  ): number | undefined;

  /**
   * Takes in how long a call took that went well.
   *
   * @returns the time of one step at the runner, in ms
   */
  abstract observe(candidate: RunnerCandidate, timing: CallTiming, nowMs: number): number;
}
