/**
 * Calls that have to be over until they tell how long others will take: a few may all have been long ones, for which nobody
 * should be refused, or short ones, which say nothing of those that are still under way.
 */
export const MIN_CALLS_FOR_AVERAGE = 10;
