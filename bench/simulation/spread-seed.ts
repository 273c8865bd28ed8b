/** 2^32 divided by the golden ratio. */
const STEP = 0x9e3779b1;

/**
 * A seed for a numbered run, far from those of its neighbours: what {@link SeededRandomSource} gives first is nearly the
 * same for seeds that follow each other, so that their runs would begin alike.
 */
export function spreadSeed(run: number): number {
  return Math.imul(run, STEP) >>> 0;
}
