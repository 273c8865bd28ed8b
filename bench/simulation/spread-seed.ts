/** 2^32 divided by the golden ratio. */
const STEP = 0x9e3779b1;

/**
 * Returns a seed for a numbered run that is far from the seeds of adjacent runs. The first values of
 * {@link SeededRandomSource} are nearly the same for consecutive seeds, so their runs would begin alike.
 */
export function spreadSeed(run: number): number {
  return Math.imul(run, STEP) >>> 0;
}
