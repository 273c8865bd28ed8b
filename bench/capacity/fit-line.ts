/** A line fitted to measured points by least squares. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square distance of the points from the line, in the unit of y. */
  readonly residual: number;
  /** The value of the line at `x`. */
  at(x: number): number;
}

/** Fits a line; needs at least two points with different x. */
export function fitLine(points: readonly (readonly [number, number])[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const at = (x: number) => intercept + slope * x;
  const residual = Math.sqrt(points.reduce((sum, [x, y]) => sum + (y - at(x)) ** 2, 0) / count);
  return { slope, intercept, residual, at };
}
