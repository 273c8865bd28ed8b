/**
 * Least part of the expected time that must be left: the estimate is an average, and some calls take half of it; beyond
 * that a runner would nearly always work for a caller who is gone.
 */
const MIN_TIME_RATIO = 0.5;

/**
 * Whether a call can still end in its caller's time at a runner. Pure.
 *
 * @param expectedMs undefined where nothing is expected: the call is given its chance
 */
export function canFinishInTime(leftMs: number, expectedMs: number | undefined): boolean {
  return expectedMs === undefined || leftMs >= MIN_TIME_RATIO * expectedMs;
}
