/**
 * Decides whether a program may start. Beyond the capacity of the runners, each further program makes all of them late.
 * Some are therefore refused before they start, so that the others finish in time. Programs that have begun continue.
 * Pure.
 */

/** Occupancy from which some programs of the most important routes are refused. */
const REFUSAL_START_OCCUPANCY = 0.9;
/** Further increase of the occupancy at which all of them are refused. */
const REFUSAL_RAMP_OCCUPANCY = 0.35;
/** Less important routes are refused from an occupancy that is lower by this much per rank. */
const RANK_STEP_OCCUPANCY = 0.1;
/** Greater ranks count as this one, so that nothing is refused while three in ten places are free. */
const MAX_RANK = 2;

/** Inputs of the decision. */
export interface ProgramAdmissionInput {
  /** Requests at the runners as a share of their places. */
  readonly occupancy: number;
  /** Combined rank of tenant and route, as set by the operators; 0 is the most important. */
  readonly rank: number;
  /** A random number in [0, 1). */
  readonly sample: number;
}

/** Whether a program may start. */
export function mayStartProgram({ occupancy, rank, sample }: ProgramAdmissionInput): boolean {
  const refusalStartOccupancy = REFUSAL_START_OCCUPANCY - RANK_STEP_OCCUPANCY * Math.min(rank, MAX_RANK);
  return sample >= (occupancy - refusalStartOccupancy) / REFUSAL_RAMP_OCCUPANCY;
}
