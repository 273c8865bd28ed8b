/** Tests the summary of collected gateway logs and its drawing. */
import { describe, it } from "node:test";
import { expect } from "earl";
import type { LogEntry } from "../../src/cli/logs/log-entry.ts";
import { summarizeLogs } from "../../src/cli/logs/summarize-logs.ts";
import { summarySvg } from "../../src/cli/logs/summary-svg.ts";

const START_MS = 5_000_000;
const INTERVAL_MS = 2_000;

function turn(atMs: number, status: number, elapsedMs: number, runners: readonly string[]): LogEntry {
  const tries = runners.map((runner) => ({ runner, load: 0, failureRate: 0, atMs: 1 }));
  const admission = { partition: 1, owner: "a#1", answer: "granted", elapsedMs: 10 };
  const msg = status === 200 ? "call answered" : "call failed";
  return { time: START_MS + atMs, node: "a", msg, status, elapsedMs, firstByteMs: 30, admission, tries };
}

function tool(atMs: number, status: number, elapsedMs: number): LogEntry {
  return { time: START_MS + atMs, node: "b", msg: "call answered", status, elapsedMs, tries: [] };
}

const ENTRIES: LogEntry[] = [
  { time: START_MS - 700, node: "a", msg: "gateway started" },
  { time: START_MS - 600, node: "b", msg: "gateway started" },
  turn(0, 200, 100, ["x"]),
  turn(500, 200, 300, ["x", "y"]),
  turn(600, 200, 200, ["x"]),
  tool(1_999, 504, 70),
  { time: START_MS + 2_500, node: "b", msg: "store unreachable" },
  { time: START_MS + 2_600, node: "b", msg: "partition taken over" },
  turn(4_100, 503, 40, []),
  turn(4_200, 0, 900, ["y"]),
];

describe("summary of logs", () => {
  const summary = summarizeLogs(ENTRIES, INTERVAL_MS);

  it("counts calls by outcome in the interval in which they ended", () => {
    const counts = summary.intervals.map(({ startMs, answered, refused, failed }) => {
      return [startMs, answered, refused, failed];
    });
    expect(counts).toEqual([
      [0, 3, 0, 1],
      [4_000, 0, 1, 1],
    ]);
  });

  it("reports the latency of turns separately from other calls", () => {
    const [first] = summary.intervals;
    expect(first?.turns).toEqual({ medianMs: 200, p90Ms: 300 });
    expect(first?.admissions).toEqual({ medianMs: 10, p90Ms: 10 });
    expect(first?.firstBytes).toEqual({ medianMs: 20, p90Ms: 20 });
    expect(first?.others).toEqual({ medianMs: 70, p90Ms: 70 });
    expect(summary.intervals[1]?.others).toEqual(undefined);
  });

  it("reports the distribution of calls over runners", () => {
    const [first, second] = summary.intervals;
    expect([first?.repeated, first?.runners, first?.busiest]).toEqual([1, 2, 1.5]);
    expect([second?.repeated, second?.runners, second?.busiest]).toEqual([0, 1, 1]);
  });

  it("counts state changes of gateways, but not those of single partitions", () => {
    expect(summary.beliefs).toEqual([
      { startMs: -2_000, belief: "gateway started", count: 2 },
      { startMs: 2_000, belief: "store unreachable", count: 1 },
    ]);
  });

  it("is empty without calls", () => {
    expect(summarizeLogs(ENTRIES.slice(0, 2), INTERVAL_MS)).toEqual({ intervals: [], beliefs: [] });
  });

  it("is drawn with one curve per figure and only finite coordinates", () => {
    const svg = summarySvg(summary);
    expect(svg.match(/<polyline/g)?.length).toEqual(8);
    expect(/NaN|Infinity|undefined/.test(svg)).toEqual(false);
    expect(svg.includes("<title>store unreachable (1)</title>")).toEqual(true);
  });
});
