/** The median of some numbers, the lower one of two; undefined when there are none. Sorts them. */
export function median(values: number[]): number | undefined {
  values.sort((left, right) => left - right);
  return values[Math.floor((values.length - 1) / 2)];
}
