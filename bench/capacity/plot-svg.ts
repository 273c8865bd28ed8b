import type { Line } from "./fit-line.ts";

/** A plot of measured points with the line through them and the budget. */
export interface Plot {
  readonly title: string;
  readonly points: readonly (readonly [number, number])[];
  readonly line: Line;
  readonly budget: number;
  readonly xLabel: string;
  readonly yLabel: string;
}

const WIDTH = 640;
const HEIGHT = 320;
const MARGIN = 48;

/** Draws a plot as SVG. */
export function plotSvg({ title, points, line, budget, xLabel, yLabel }: Plot): string {
  const maxX = Math.max(...points.map(([x]) => x));
  const maxY = Math.max(budget, ...points.map(([, y]) => y)) * 1.1;
  const xPixel = (x: number) => (MARGIN + (x / maxX) * (WIDTH - 2 * MARGIN)).toFixed(1);
  const yPixel = (y: number) => (HEIGHT - MARGIN - (y / maxY) * (HEIGHT - 2 * MARGIN)).toFixed(1);
  const dots = points.map(([x, y]) => `<circle cx="${xPixel(x)}" cy="${yPixel(y)}" r="4" fill="#1f6f8b"/>`);
  const labels = points.map(
    ([x, y]) =>
      `<text x="${xPixel(x)}" y="${Number(yPixel(y)) - 8}" text-anchor="middle">${y.toFixed(0)}</text>`,
  );
  return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="11">
<title>${title}</title>
<rect width="100%" height="100%" fill="white"/>
<text x="${WIDTH / 2}" y="20" text-anchor="middle" font-size="13">${title}</text>
<line x1="${MARGIN}" y1="${HEIGHT - MARGIN}" x2="${WIDTH - MARGIN}" y2="${HEIGHT - MARGIN}" stroke="black"/>
<line x1="${MARGIN}" y1="${MARGIN}" x2="${MARGIN}" y2="${HEIGHT - MARGIN}" stroke="black"/>
<line x1="${xPixel(0)}" y1="${yPixel(budget)}" x2="${xPixel(maxX)}" y2="${yPixel(budget)}" stroke="#b03a2e" stroke-dasharray="6 4"/>
<text x="${xPixel(maxX)}" y="${Number(yPixel(budget)) - 5}" text-anchor="end" fill="#b03a2e">budget ${budget}</text>
<line x1="${xPixel(0)}" y1="${yPixel(line.at(0))}" x2="${xPixel(maxX)}" y2="${yPixel(line.at(maxX))}" stroke="#7fb3c8"/>
${dots.join("\n")}
${labels.join("\n")}
${points.map(([x]) => `<text x="${xPixel(x)}" y="${HEIGHT - MARGIN + 16}" text-anchor="middle">${x}</text>`).join("\n")}
<text x="${WIDTH / 2}" y="${HEIGHT - 10}" text-anchor="middle">${xLabel}</text>
<text x="12" y="${MARGIN - 10}">${yLabel}</text>
</svg>
`;
}
