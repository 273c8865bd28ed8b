/** Compares the running totals of load reports with sums that are computed from all reports. */
import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import type { LoadReport } from "../../src/scheduling/runner-balancing/load-report.ts";
import { ReportTotals } from "../../src/scheduling/runner-balancing/report-totals.ts";

const TTL_MS = 3_000;
const RUNNERS = ["r1", "r2", "r3"] as RunnerId[];
const GATEWAYS = ["a", "b", "c", "d"];

const runners = fc.subarray(RUNNERS);
const tenths = fc.integer({ min: 0, max: 50 }).map((count) => count / 10);
const counts = runners.chain((ids) =>
  fc.tuple(...ids.map((id) => fc.tuple(fc.constant(id), fc.integer({ min: 1, max: 9 })))),
);
const report: fc.Arbitrary<LoadReport> = fc.record({
  inFlight: counts,
  leased: counts,
  failing: runners.chain((ids) =>
    fc.tuple(
      ...ids.map((id) =>
        fc.tuple(
          fc.constant(id),
          tenths,
          fc.integer({ min: 1, max: 50 }).map((n) => n / 10),
        ),
      ),
    ),
  ),
});
const step = fc.record({
  gateway: fc.constantFrom(...GATEWAYS),
  report: fc.option(report, { nil: undefined }),
  passMs: fc.integer({ min: 0, max: TTL_MS }),
});

function inFlightOf(reports: Iterable<LoadReport>, runner: RunnerId): number {
  let sum = 0;
  for (const { inFlight } of reports) for (const [id, count] of inFlight) if (id === runner) sum += count;
  return sum;
}

function leasedOf(reports: Iterable<LoadReport>, runner: RunnerId): number {
  let sum = 0;
  for (const { leased = [] } of reports) for (const [id, count] of leased) if (id === runner) sum += count;
  return sum;
}

function failuresOf(reports: Iterable<LoadReport>, runner: RunnerId): number {
  let sum = 0;
  for (const { failing } of reports) for (const [id, , count] of failing) if (id === runner) sum += count;
  return Math.round(10 * sum) / 10;
}

describe("report totals", () => {
  it("add up the latest reports of all gateways that reported recently", () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        const totals = new ReportTotals(TTL_MS);
        const last = new Map<string, { report: LoadReport; atMs: number }>();
        let nowMs = 0;
        for (const { gateway, report, passMs } of steps) {
          nowMs += passMs;
          if (report) {
            totals.set(gateway, report, nowMs);
            last.set(gateway, { report, atMs: nowMs });
          } else {
            totals.delete(gateway);
            last.delete(gateway);
          }
          totals.dropStale(nowMs);
          for (const [name, { atMs }] of last) if (nowMs - atMs > TTL_MS) last.delete(name);
          const reports = [...last.values()].map((entry) => entry.report);
          for (const runner of RUNNERS) {
            expect(totals.inFlight(runner)).toEqual(inFlightOf(reports, runner));
            expect(totals.leased(runner)).toEqual(leasedOf(reports, runner));
            expect(totals.outcomes(runner).failures).toEqual(failuresOf(reports, runner));
          }
        }
      }),
    );
  });

  it("minus the report of one gateway equal the sum of the others", () => {
    fc.assert(
      fc.property(report, report, report, (first, second, third) => {
        const totals = new ReportTotals(TTL_MS);
        for (const [index, gatewayReport] of [first, second, third].entries())
          totals.set(GATEWAYS[index] as string, gatewayReport, 0);
        const others = ReportTotals.difference(totals.sum(["a", "b", "c"]), totals.sum(["b"]));
        const wanted = totals.sum(["a", "c"]);
        for (const runner of RUNNERS) {
          expect(inFlightOf([others], runner)).toEqual(inFlightOf([wanted], runner));
          expect(leasedOf([others], runner)).toEqual(leasedOf([wanted], runner));
          expect(failuresOf([others], runner)).toEqual(failuresOf([wanted], runner));
        }
      }),
    );
  });

  it("contain the median of the paces that several gateways report for a runner", () => {
    const totals = new ReportTotals(TTL_MS);
    const paced = (paceMs: number) => ({
      inFlight: [],
      failing: [],
      paces: [[RUNNERS[0] as RunnerId, paceMs] as const],
    });
    for (const [index, paceMs] of [20, 400, 30].entries())
      totals.set(GATEWAYS[index] as string, paced(paceMs), 0);
    expect(totals.sum(["a", "b", "c"])).toEqual(paced(30));
    expect(ReportTotals.difference(totals.sum(["a", "b", "c"]), paced(30))).toEqual(paced(30));
    totals.delete("c");
    expect(totals.pacesMs(RUNNERS[0] as RunnerId)).toEqual([20, 400]);
  });
});
