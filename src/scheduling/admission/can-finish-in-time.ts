/**
 * Least time left, as a part of the expected time. The expected time is an average, and some calls take half of it; with
 * less time left, a runner would nearly always work for a caller that has timed out.
 */
const MIN_TIME_RATIO = 0.5;

/**
 * Whether a call can still finish at a runner within its caller's time. Pure.
 *
 * @param expectedMs undefined if there is no estimate; the call is then tried
 */
export function canFinishInTime(leftMs: number, expectedMs: number | undefined): boolean {
  return expectedMs === undefined || leftMs >= MIN_TIME_RATIO * expectedMs;
}
