import type { NodeReport } from "./node-report.ts";

/** Outcomes are told in tenths. */
const TENTHS = 10;

/** A sum of reports without one of its parts. Pure. */
export function withoutReport(sum: NodeReport, part: NodeReport): NodeReport {
  if (part.inFlight.length === 0 && part.failing.length === 0) return sum;
  const counts = new Map(part.inFlight);
  const outcomes = new Map(part.failing.map(([id, successes, failures]) => [id, { successes, failures }]));
  const inFlight = sum.inFlight.map(([id, count]) => [id, count - (counts.get(id) ?? 0)] as const);
  const failing = sum.failing.map(([id, successes, failures]) => {
    const own = outcomes.get(id);
    const remaining = (count: number, part: number) => Math.round((count - part) * TENTHS) / TENTHS;
    return [id, remaining(successes, own?.successes ?? 0), remaining(failures, own?.failures ?? 0)] as const;
  });
  return {
    inFlight: inFlight.filter(([, count]) => count > 0),
    failing: failing.filter(([, , failures]) => failures > 0),
  };
}
