/**
 * Completed calls that are needed before their average time predicts that of others. A few may all have been long ones,
 * which must not cause refusals, or short ones, which say nothing about the calls that are still running.
 */
export const MIN_CALLS_FOR_AVERAGE = 10;
