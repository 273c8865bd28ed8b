/**
 * Returns the median of some numbers, the lower of the two middle ones if their count is even; undefined if there are none.
 * Sorts the array in place.
 */
export function median(values: number[]): number | undefined {
  values.sort((left, right) => left - right);
  return values[Math.floor((values.length - 1) / 2)];
}
