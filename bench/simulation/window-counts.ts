/** How many events lie in a window that ends with one of them. */
export interface WindowCount {
  readonly endMs: number;
  readonly count: number;
}

/** For each event, in order of time: how many lie in the window of this length that ends with it, itself among them. */
export function windowCounts(eventsMs: readonly number[], windowMs: number): WindowCount[] {
  const sorted = [...eventsMs].sort((left, right) => left - right);
  let first = 0;
  return sorted.map((endMs, index) => {
    while (endMs - (sorted[first] ?? endMs) > windowMs) first += 1;
    return { endMs, count: index - first + 1 };
  });
}
