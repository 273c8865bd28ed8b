/**
 * Whether a program may begin. Beyond what the runners can do, every program more makes all of them late: some are refused
 * before they have begun, so that the others end in time. What has begun goes on. Pure.
 */

/** Share of the places that are taken from which on some programs are refused, for the most important routes. */
const REFUSAL_START_OCCUPANCY = 0.9;
/** From so much more on, all of them are. */
const REFUSAL_RAMP_OCCUPANCY = 0.35;
/** Less important routes are refused this much earlier, for each rank. */
const RANK_STEP_OCCUPANCY = 0.1;
/** Ranks beyond this are treated alike, so that nothing is refused while three in ten places are free. */
const MAX_RANK = 2;

/** What the decision depends on. */
export interface ProgramAdmissionInput {
  /** Requests at the runners as a share of their places. */
  readonly occupancy: number;
  /** Of tenant and route, as operators give it: 0 is the most important. */
  readonly rank: number;
  /** A number in [0, 1), drawn at random. */
  readonly sample: number;
}

/** See the module's comment. */
export function mayStartProgram({ occupancy, rank, sample }: ProgramAdmissionInput): boolean {
  const refusalStartOccupancy = REFUSAL_START_OCCUPANCY - RANK_STEP_OCCUPANCY * Math.min(rank, MAX_RANK);
  return sample >= (occupancy - refusalStartOccupancy) / REFUSAL_RAMP_OCCUPANCY;
}
