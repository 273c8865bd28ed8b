/**
 * `npm run experiment -- SCENARIO --load 0.8 --seeds 10`: compares policies on virtual time. SCENARIO is a name, or the
 * path of a workload's settings file.
 */
import { execFileSync } from "node:child_process";
import { mkdir, writeFile } from "node:fs/promises";
import { Cli, Command, Option } from "clipanion";
import { formatTable } from "../src/cli/format-table.ts";
import { loadTextHash, type TextHash } from "../src/runtime/text-hash.ts";
import { POLICIES, type Policy } from "./experiment/policies.ts";
import { type ExperimentResult, runExperiment } from "./experiment/run-experiment.ts";
import { MAGNOLIA, RATEORA, type Scenario } from "./experiment/scenarios.ts";
import { loadWorkload } from "./experiment/workload-settings.ts";

const SCENARIOS: readonly Scenario[] = [MAGNOLIA, RATEORA];
const MS_PER_SECOND = 1_000;
/** Two-sided 95% quantile of the normal distribution. */
const NORMAL_95 = 1.96;

/** The metrics of one run that are compared. */
interface Figures {
  readonly p50Seconds: number;
  readonly p95Seconds: number;
  /** Median ratio of latency to the critical path. */
  readonly stretch: number;
  readonly wastedPercent: number;
  readonly missedPercent: number;
  readonly unfinished: number;
  readonly refusedPercent: number;
  /** Earned value as a percentage of the maximum value of the programs; 0 where value is not counted. */
  readonly worthPercent: number;
}

class ExperimentCommand extends Command {
  static override paths = [Command.Default];
  scenario = Option.String({ name: "SCENARIO" });
  load = Option.String("--load", "0.8", { description: "Demand as a fraction of the capacity" });
  seeds = Option.String("--seeds", "10", { description: "Number of seeds" });
  minutes = Option.String("--minutes", "4", { description: "Virtual minutes in which programs arrive" });
  policy = Option.Array("--policy", [], { description: "Policies to compare; all by default" });
  compare = Option.Boolean("--compare", false, { description: "Prints the policies side by side" });
  write = Option.Boolean("--write", false, { description: "Writes the results to bench/results" });

  override async execute(): Promise<number> {
    const scenario =
      SCENARIOS.find(({ name }) => name === this.scenario) ?? (await loadWorkload(this.scenario));
    const hash = await loadTextHash();
    const policies = POLICIES.filter(({ name }) => this.policy.length === 0 || this.policy.includes(name));
    const rows = policies.map((policy) => ({
      policy: policy.name,
      ...this.#measure(scenario, policy, hash),
    }));
    this.context.stdout.write(
      `${scenario.name}, load ${this.load}, ${this.seeds} seeds; mean ± 95% interval\n`,
    );
    if (this.compare) this.context.stdout.write(`${compare(rows)}\n`);
    else for (const row of rows) this.context.stdout.write(`${describe(row)}\n`);
    if (this.write) await writeResults(`${scenario.name}-${this.load}`, rows);
    return 0;
  }

  #measure(scenario: Scenario, policy: Policy, hash: TextHash) {
    const figures = Array.from({ length: Number(this.seeds) }, (_, index) => {
      const durationMs = Number(this.minutes) * 60 * MS_PER_SECOND;
      const options = { scenario, policy, seed: index + 1, load: Number(this.load), durationMs };
      return figuresOf(runExperiment(options, hash));
    });
    const intervalOf = (read: (one: Figures) => number) => interval(figures.map(read));
    return {
      p50Seconds: intervalOf((one) => one.p50Seconds),
      p95Seconds: intervalOf((one) => one.p95Seconds),
      stretch: intervalOf((one) => one.stretch),
      wastedPercent: intervalOf((one) => one.wastedPercent),
      missedPercent: intervalOf((one) => one.missedPercent),
      unfinished: intervalOf((one) => one.unfinished),
      refusedPercent: intervalOf((one) => one.refusedPercent),
      worthPercent: intervalOf((one) => one.worthPercent),
    };
  }
}

/** A mean with half the width of its 95% confidence interval. */
interface Interval {
  readonly mean: number;
  readonly half: number;
}

function figuresOf(result: ExperimentResult): Figures {
  const { programs, promptTokens, wastedTokens, unfinished, refused } = result;
  const latencies = programs
    .map(({ latencyMs }) => latencyMs / MS_PER_SECOND)
    .sort((left, right) => left - right);
  const stretches = programs
    .map(({ latencyMs, boundMs }) => latencyMs / boundMs)
    .sort((left, right) => left - right);
  const missed = programs.filter(({ missedDeadline }) => missedDeadline).length;
  const earned = programs.reduce((sum, program) => sum + program.earned, result.refusedEarned);
  const owed = programs.reduce((sum, program) => sum + program.owed, result.refusedOwed);
  return {
    refusedPercent: (100 * refused) / Math.max(1, refused + programs.length),
    worthPercent: owed === 0 ? 0 : (100 * earned) / owed,
    p50Seconds: quantile(latencies, 0.5),
    p95Seconds: quantile(latencies, 0.95),
    stretch: quantile(stretches, 0.5),
    wastedPercent: (100 * wastedTokens) / promptTokens,
    missedPercent: (100 * missed) / programs.length,
    unfinished,
  };
}

function quantile(sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))];
}

function interval(values: readonly number[]): Interval {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const variance =
    values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / Math.max(1, values.length - 1);
  return { mean, half: NORMAL_95 * Math.sqrt(variance / values.length) };
}

function describe(row: { readonly policy: string } & Record<keyof Figures, Interval>): string {
  const show = ({ mean, half }: Interval, digits: number) =>
    `${mean.toFixed(digits)} ± ${half.toFixed(digits)}`;
  return (
    `${row.policy.padEnd(18)} program p50 ${show(row.p50Seconds, 2)} s, p95 ${show(row.p95Seconds, 2)} s, ` +
    `over critical path ${show(row.stretch, 2)}, wasted cache ${show(row.wastedPercent, 2)}%, ` +
    `deadlines missed ${show(row.missedPercent, 2)}%, unfinished ${show(row.unfinished, 0)}`
  );
}

const COLUMNS: readonly [header: string, figure: keyof Figures, digits: number][] = [
  ["P50 S", "p50Seconds", 2],
  ["P95 S", "p95Seconds", 2],
  ["OVER PATH", "stretch", 2],
  ["WASTED %", "wastedPercent", 1],
  ["REFUSED %", "refusedPercent", 1],
  ["WORTH %", "worthPercent", 1],
  ["UNFINISHED", "unfinished", 0],
];

/** Formats a table that compares the policies side by side. */
function compare(rows: readonly ({ readonly policy: string } & Record<keyof Figures, Interval>)[]): string {
  const cells = rows.map((row) => {
    const figures = COLUMNS.map(([, figure, digits]) => {
      const { mean, half } = row[figure];
      return `${mean.toFixed(digits)} ± ${half.toFixed(digits)}`;
    });
    return [row.policy, ...figures];
  });
  return formatTable(["POLICY", ...COLUMNS.map(([header]) => header)], cells);
}

async function writeResults(name: string, rows: readonly object[]): Promise<void> {
  const commit = execFileSync("git", ["rev-parse", "--short", "HEAD"], { encoding: "utf8" }).trim();
  await mkdir("bench/results", { recursive: true });
  const content = JSON.stringify({ commit, date: new Date().toISOString(), rows }, null, 2);
  await writeFile(`bench/results/experiment-${name}.json`, `${content}\n`);
}

process.exitCode = await Cli.from([ExperimentCommand], { binaryName: "experiment" }).run(
  process.argv.slice(2),
);
