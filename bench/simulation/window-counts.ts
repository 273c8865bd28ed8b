/** The number of events in a window that ends with one of them. */
export interface WindowCount {
  readonly endMs: number;
  readonly count: number;
}

/** Counts, for each event in order of time, the events in the window that ends with it, including the event itself. */
export function windowCounts(eventsMs: readonly number[], windowMs: number): WindowCount[] {
  const sorted = [...eventsMs].sort((left, right) => left - right);
  let first = 0;
  return sorted.map((endMs, index) => {
    while (endMs - (sorted[first] ?? endMs) > windowMs) first += 1;
    return { endMs, count: index - first + 1 };
  });
}
