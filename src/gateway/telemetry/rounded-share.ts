const PERCENT = 100;

/** A share as it is logged: in whole hundredths. */
export function roundedShare(share: number): number {
  return Math.round(PERCENT * share) / PERCENT;
}
