/**
 * Sums the load reports of other gateways by runner as they arrive, so that choosing a runner costs the same however many
 * gateways there are. Pure.
 */
import type { RunnerId } from "../ids/runner-id.ts";
import type { LoadReport } from "./load-report.ts";
import type { OutcomeCounts } from "./outcome-counts.ts";
import { ReportedPaces } from "./reported-paces.ts";

/** Outcomes are reported in tenths. They are summed as integers, without rounding errors. */
const TENTHS = 10;

type Paces = NonNullable<LoadReport["paces"]>;

interface RunnerTotal {
  inFlight: number;
  leased: number;
  successTenths: number;
  failureTenths: number;
}

interface StoredReport {
  readonly report: LoadReport;
  readonly atMs: number;
}

/** The latest report of each source, and the totals of all reports by runner. A source is a gateway or a sum of several. */
export class ReportTotals {
  readonly #ttlMs: number;
  readonly #reports = new Map<string, StoredReport>();
  readonly #totals = new Map<RunnerId, RunnerTotal>();
  readonly #paces = new ReportedPaces();

  /** @param ttlMs how long a report is valid, in ms */
  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
  }

  /** Requests in flight at a runner from all other gateways. */
  inFlight(runner: RunnerId): number {
    return this.#totals.get(runner)?.inFlight ?? 0;
  }

  /** Requests in flight at a runner from all other gateways that were placed by a dispatcher. */
  leased(runner: RunnerId): number {
    return this.#totals.get(runner)?.leased ?? 0;
  }

  /** Recent outcomes of the requests of other gateways at a runner. */
  outcomes(runner: RunnerId): OutcomeCounts {
    const total = this.#totals.get(runner);
    if (!total) return { successes: 0, failures: 0 };
    return { successes: total.successTenths / TENTHS, failures: total.failureTenths / TENTHS };
  }

  /** The paces that other gateways last reported for a runner, in ms; one per report. */
  pacesMs(runner: RunnerId): number[] {
    return this.#paces.pacesOf(runner);
  }

  /** Stores the report of a source in place of its previous one. */
  set(source: string, report: LoadReport, nowMs: number): void {
    this.delete(source);
    this.#reports.set(source, { report, atMs: nowMs });
    this.#add(report, 1);
    if (report.paces) this.#paces.add(source, report.paces);
  }

  /** Deletes the report of a source. */
  delete(source: string): void {
    const known = this.#reports.get(source);
    if (!known) return;
    this.#reports.delete(source);
    this.#add(known.report, -1);
    if (known.report.paces) this.#paces.delete(source, known.report.paces);
  }

  /** Deletes reports that are too old. They are stored in order of arrival. */
  dropStale(nowMs: number): void {
    for (const [source, { atMs }] of this.#reports) {
      if (nowMs - atMs <= this.#ttlMs) return;
      this.delete(source);
    }
  }

  /** Merges the reports of some sources into one: counts are added, and paces are replaced by their median. */
  sum(sources: readonly string[]): LoadReport {
    const sum = new ReportTotals(this.#ttlMs);
    for (const source of sources) {
      const known = this.#reports.get(source);
      if (!known) continue;
      sum.#add(known.report, 1);
      if (known.report.paces) sum.#paces.add(source, known.report.paces);
    }
    return sum.#asReport(sum.#paces.medians());
  }

  /** Subtracts one report from a sum that includes it. Paces are kept, since a median cannot be subtracted from. */
  static difference(sum: LoadReport, part: LoadReport): LoadReport {
    const { inFlight, leased = [], failing } = part;
    if (inFlight.length === 0 && leased.length === 0 && failing.length === 0) return sum;
    const totals = new ReportTotals(Number.POSITIVE_INFINITY);
    totals.#add(sum, 1);
    totals.#add(part, -1);
    return totals.#asReport(sum.paces ?? []);
  }

  #add({ inFlight, leased = [], failing }: LoadReport, sign: 1 | -1): void {
    for (const [runner, count] of inFlight) {
      const total = this.#total(runner);
      total.inFlight += sign * count;
      this.#dropIfEmpty(runner, total);
    }
    for (const [runner, count] of leased) {
      const total = this.#total(runner);
      total.leased += sign * count;
      this.#dropIfEmpty(runner, total);
    }
    for (const [runner, successes, failures] of failing) {
      const total = this.#total(runner);
      total.successTenths += sign * Math.round(successes * TENTHS);
      total.failureTenths += sign * Math.round(failures * TENTHS);
      this.#dropIfEmpty(runner, total);
    }
  }

  #dropIfEmpty(runner: RunnerId, total: RunnerTotal): void {
    const { inFlight, leased, successTenths, failureTenths } = total;
    const isEmpty = inFlight === 0 && leased === 0 && successTenths === 0 && failureTenths === 0;
    if (isEmpty) this.#totals.delete(runner);
  }

  #total(runner: RunnerId): RunnerTotal {
    const known = this.#totals.get(runner);
    if (known) return known;
    const total = { inFlight: 0, leased: 0, successTenths: 0, failureTenths: 0 };
    this.#totals.set(runner, total);
    return total;
  }

  #asReport(paces: Paces): LoadReport {
    const inFlight: [RunnerId, number][] = [];
    const leased: [RunnerId, number][] = [];
    const failing: [RunnerId, number, number][] = [];
    for (const [runner, total] of this.#totals) {
      if (total.inFlight > 0) inFlight.push([runner, total.inFlight]);
      if (total.leased > 0) leased.push([runner, total.leased]);
      if (total.failureTenths > 0)
        failing.push([runner, total.successTenths / TENTHS, total.failureTenths / TENTHS]);
    }
    return {
      inFlight,
      failing,
      ...(leased.length === 0 ? {} : { leased }),
      ...(paces.length === 0 ? {} : { paces }),
    };
  }
}
