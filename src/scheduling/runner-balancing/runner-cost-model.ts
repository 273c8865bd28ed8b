import type { CallTiming } from "./call-timing.ts";
import type { RunnerCandidate } from "./runner-candidate.ts";
import type { RunnerCriteria } from "./runner-criteria.ts";
import type { RunnerLoads } from "./runner-loads.ts";

/** Returns the cost of a request at a runner. The runner with the lowest cost is chosen. */
export type CostFunction = (candidate: RunnerCandidate, index: number) => number;

/** Computes the costs by which runners are compared. */
export abstract class RunnerCostModel {
  /** Whether the paces that this gateway observes are reported to the others. */
  abstract readonly sharesPaces: boolean;

  /**
   * Maximum number of runners that are compared. If there are more, that many are drawn at random, and the preferred one is
   * added.
   */
  abstract readonly maxCandidates: number;

  /** Returns the function that computes the cost of a request at each of the candidates. */
  abstract costFunction(
    candidates: readonly RunnerCandidate[],
    criteria: RunnerCriteria,
    loads: RunnerLoads,
  ): CostFunction;

  /** Expected time to complete a request at a runner, in ms; undefined if the model does not estimate it. */
  abstract expectedMs(
    candidate: RunnerCandidate,
    criteria: RunnerCriteria,
    loads: RunnerLoads,
  ): number | undefined;

  /**
   * Records how long a successful call took.
   *
   * @returns the time of one step at the runner, in ms
   */
  abstract observe(candidate: RunnerCandidate, timing: CallTiming, nowMs: number): number;
}
