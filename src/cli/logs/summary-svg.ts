/** Draws a log summary as SVG: calls by outcome, latency of turns, number of runners, and state changes of gateways. */
import type { IntervalSummary, LogSummary } from "./summarize-logs.ts";

const WIDTH = 900;
const PANEL_HEIGHT = 150;
const MARGIN = 56;
const GAP = 36;
const MS_PER_S = 1_000;
const COLORS = { good: "#2e7d5b", refused: "#c98a1b", failed: "#b03a2e", median: "#1f6f8b", high: "#7fb3c8" };

interface Curve {
  readonly label: string;
  readonly color: string;
  readonly read: (interval: IntervalSummary) => number | undefined;
}

interface Panel {
  readonly title: string;
  readonly curves: readonly Curve[];
}

const PANELS: readonly Panel[] = [
  {
    title: "calls that ended, per interval",
    curves: [
      { label: "answered", color: COLORS.good, read: ({ answered }) => answered },
      { label: "refused", color: COLORS.refused, read: ({ refused }) => refused },
      { label: "failed", color: COLORS.failed, read: ({ failed }) => failed },
    ],
  },
  {
    title: "turns, ms",
    curves: [
      { label: "median", color: COLORS.median, read: ({ turns }) => turns?.medianMs },
      { label: "nine in ten", color: COLORS.high, read: ({ turns }) => turns?.p90Ms },
      {
        label: "owner's answer, nine in ten",
        color: COLORS.failed,
        read: ({ admissions }) => admissions?.p90Ms,
      },
      {
        label: "first byte, nine in ten",
        color: COLORS.refused,
        read: ({ firstBytes }) => firstBytes?.p90Ms,
      },
    ],
  },
  {
    title: "runners that got calls",
    curves: [{ label: "runners", color: COLORS.median, read: ({ runners }) => runners }],
  },
];

/** Returns the SVG document of a log summary. */
export function summarySvg({ intervals, beliefs }: LogSummary): string {
  const lastMs = Math.max(1, ...intervals.map(({ startMs }) => startMs));
  const x = (ms: number) => MARGIN + (Math.min(Math.max(0, ms), lastMs) / lastMs) * (WIDTH - 2 * MARGIN);
  const height = PANELS.length * (PANEL_HEIGHT + GAP) + MARGIN;
  const panels = PANELS.map((panel, index) => {
    return drawPanel(panel, intervals, x, MARGIN + index * (PANEL_HEIGHT + GAP));
  });
  const marks = beliefs.map(({ startMs, belief, count }) => {
    const at = x(startMs).toFixed(1);
    const line = `<line x1="${at}" y1="${MARGIN}" x2="${at}" y2="${height - GAP}" stroke="#999" stroke-dasharray="2 4"/>`;
    return `<g><title>${escapeText(belief)} (${count})</title>${line}</g>`;
  });
  const endLabel = `<text x="${WIDTH - MARGIN}" y="${height - 8}" text-anchor="end">${(lastMs / MS_PER_S).toFixed(0)} s</text>`;
  return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${height}" font-family="sans-serif" font-size="11">
<title>Summary of gateway logs</title>
<rect width="100%" height="100%" fill="white"/>
${marks.join("\n")}
${panels.join("\n")}
<text x="${MARGIN}" y="${height - 8}">0 s; dotted lines: state changes of gateways</text>
${endLabel}
</svg>
`;
}

function drawPanel(
  { title, curves }: Panel,
  intervals: readonly IntervalSummary[],
  x: (ms: number) => number,
  top: number,
): string {
  const values = curves.flatMap((curve) => intervals.map((interval) => curve.read(interval) ?? 0));
  const maxValue = Math.max(1, ...values);
  const y = (value: number) => top + PANEL_HEIGHT * (1 - value / maxValue);
  const lines = curves.map(({ color, read }) => {
    const points = intervals.flatMap((interval) => {
      const value = read(interval);
      return value === undefined ? [] : [`${x(interval.startMs).toFixed(1)},${y(value).toFixed(1)}`];
    });
    return `<polyline points="${points.join(" ")}" fill="none" stroke="${color}" stroke-width="1.5"/>`;
  });
  const legend = curves.map(({ label, color }, index) => {
    return `<text x="${MARGIN + 200 + index * 165}" y="${top - 6}" fill="${color}">${escapeText(label)}</text>`;
  });
  return `<text x="${MARGIN}" y="${top - 6}" font-weight="bold">${title}</text>
${legend.join("\n")}
<line x1="${MARGIN}" y1="${top + PANEL_HEIGHT}" x2="${WIDTH - MARGIN}" y2="${top + PANEL_HEIGHT}" stroke="black"/>
<text x="${MARGIN - 6}" y="${top + 8}" text-anchor="end">${Math.round(maxValue)}</text>
<text x="${MARGIN - 6}" y="${top + PANEL_HEIGHT}" text-anchor="end">0</text>
${lines.join("\n")}`;
}

function escapeText(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
