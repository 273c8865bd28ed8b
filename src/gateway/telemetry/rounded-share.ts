const PERCENT = 100;

/** Rounds a share to hundredths for logging. */
export function roundedShare(share: number): number {
  return Math.round(PERCENT * share) / PERCENT;
}
