/** Returns how many of `count` replicas form a majority. Any two majorities have at least one replica in common. */
export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}
