/** `npm run capacity`: measures the cost of coordination by number of nodes, and extrapolates it to the target size. */
import { execFileSync } from "node:child_process";
import { mkdir, writeFile } from "node:fs/promises";
import { Cli, Command, Option } from "clipanion";
import { fitLine, type Line } from "./capacity/fit-line.ts";
import { HollowCluster } from "./capacity/hollow-cluster.ts";
import { measureNodeProcesses, type ProcessMeasurement } from "./capacity/measure-node-processes.ts";
import { plotSvg } from "./capacity/plot-svg.ts";

/** Results for one cluster size; per node and second unless the name says otherwise. */
interface Measurement {
  readonly nodes: number;
  readonly bytesByMechanism: Record<string, number>;
  readonly messagesByMechanism: Record<string, number>;
  readonly bytes: number;
  readonly cpuPercent: number;
  readonly heapMegabytesPerNode: number;
  readonly platformRequestsPerSecond: number;
}

const TARGET_NODES = 2_100;
const BUDGET = { bytes: 3_000, cpuPercent: 1.1, megabytes: 256 };
const SETTLE_MS = 6_000;
const WINDOW_MS = 10_000;
const MS_PER_SECOND = 1_000;
const BYTES_PER_MEGABYTE = 1_048_576;

class CapacityCommand extends Command {
  static override paths = [Command.Default];
  sizes = Option.String("--sizes", "25,50,100,200,400", { description: "Numbers of hollow nodes" });
  real = Option.String("--real", "6", { description: "Number of node processes to measure for comparison" });
  write = Option.Boolean("--write", false, {
    description: "Writes the results to bench/results and the plot to docs",
  });

  override async execute(): Promise<number> {
    const measurements: Measurement[] = [];
    for (const size of this.sizes.split(",").map(Number)) {
      const measurement = await measureHollowNodes(size);
      measurements.push(measurement);
      this.context.stdout.write(`${describe(measurement)}\n`);
    }
    const fits = {
      bytes: fitByNodes(measurements, ({ bytes }) => bytes),
      cpuPercent: fitByNodes(measurements, ({ cpuPercent }) => cpuPercent),
      heapMegabytes: fitByNodes(measurements, ({ heapMegabytesPerNode }) => heapMegabytesPerNode),
    };
    this.#printTarget(fits);
    const real = await measureNodeProcesses(Number(this.real));
    this.context.stdout.write(
      `${real.nodes} real processes, per node and second: ${real.bytes.toFixed(0)} B in ${real.messages.toFixed(1)} ` +
        `messages, ${real.cpuPercent.toFixed(2)}% of a core, ${real.residentMegabytes.toFixed(0)} MB resident\n`,
    );
    if (this.write) await writeResults(measurements, fits, real);
    return 0;
  }

  #printTarget(fits: Record<"bytes" | "cpuPercent" | "heapMegabytes", Line>): void {
    const rows: [string, Line, number][] = [
      ["control bytes per node and second", fits.bytes, BUDGET.bytes],
      ["processor, percent of a core", fits.cpuPercent, BUDGET.cpuPercent],
      ["heap per node, MB", fits.heapMegabytes, BUDGET.megabytes],
    ];
    for (const [name, line, budget] of rows) {
      const value = line.at(TARGET_NODES);
      this.context.stdout.write(
        `${name}: ${value.toFixed(2)} at ${TARGET_NODES} nodes (slope ${line.slope.toExponential(2)}, ` +
          `residual ${line.residual.toFixed(3)}), budget ${budget}\n`,
      );
    }
  }
}

async function measureHollowNodes(size: number): Promise<Measurement> {
  const cluster = await HollowCluster.start(size);
  await pause(SETTLE_MS);
  cluster.network.reset();
  const platformBefore = cluster.platform.table + cluster.platform.machineList;
  const cpuBefore = process.cpuUsage();
  const startMs = performance.now();
  await pause(WINDOW_MS);
  const seconds = (performance.now() - startMs) / MS_PER_SECOND;
  const cpu = process.cpuUsage(cpuBefore);
  const perNodeAndSecond = 1 / (size * seconds);
  const bytesByMechanism: Record<string, number> = {};
  const messagesByMechanism: Record<string, number> = {};
  for (const [mechanism, { bytes, messages }] of cluster.network.byMechanism) {
    bytesByMechanism[mechanism] = bytes * perNodeAndSecond;
    messagesByMechanism[mechanism] = messages * perNodeAndSecond;
  }
  const platformRequests = cluster.platform.table + cluster.platform.machineList - platformBefore;
  globalThis.gc?.();
  const measurement = {
    nodes: size,
    bytesByMechanism,
    messagesByMechanism,
    bytes: Object.values(bytesByMechanism).reduce((sum, bytes) => sum + bytes, 0),
    cpuPercent: (cpu.user + cpu.system) / (seconds * 10_000) / size,
    heapMegabytesPerNode: process.memoryUsage().heapUsed / BYTES_PER_MEGABYTE / size,
    platformRequestsPerSecond: platformRequests / seconds,
  };
  cluster.stop();
  await pause(MS_PER_SECOND);
  return measurement;
}

function describe(measurement: Measurement): string {
  const parts = Object.entries(measurement.bytesByMechanism).map(
    ([mechanism, bytes]) =>
      `${mechanism} ${bytes.toFixed(0)} B in ${measurement.messagesByMechanism[mechanism].toFixed(1)} messages`,
  );
  return (
    `${measurement.nodes} nodes, per node and second: ${measurement.bytes.toFixed(0)} B (${parts.join(", ")}), ` +
    `${measurement.cpuPercent.toFixed(3)}% of a core, ${measurement.heapMegabytesPerNode.toFixed(2)} MB of heap; ` +
    `platform ${measurement.platformRequestsPerSecond.toFixed(0)} requests/s in all`
  );
}

function fitByNodes(measurements: readonly Measurement[], read: (measurement: Measurement) => number): Line {
  return fitLine(measurements.map((measurement) => [measurement.nodes, read(measurement)]));
}

async function writeResults(
  measurements: readonly Measurement[],
  fits: Record<string, Line>,
  real: ProcessMeasurement,
): Promise<void> {
  const commit = execFileSync("git", ["rev-parse", "--short", "HEAD"], { encoding: "utf8" }).trim();
  const date = new Date().toISOString();
  const lines = Object.fromEntries(
    Object.entries(fits).map(([name, { slope, intercept, residual }]) => [
      name,
      { slope, intercept, residual },
    ]),
  );
  await mkdir("bench/results", { recursive: true });
  const content = JSON.stringify({ commit, date, measurements, fits: lines, real }, null, 2);
  await writeFile("bench/results/capacity.json", `${content}\n`);
  const points = measurements.map(({ nodes, bytes }) => [nodes, bytes] as const);
  const plot = plotSvg({
    title: "Control bytes per node and second, by number of nodes",
    points,
    line: fits.bytes,
    budget: BUDGET.bytes,
    xLabel: "nodes",
    yLabel: "B/s",
  });
  await writeFile("docs/capacity-bytes.svg", plot);
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

process.exitCode = await Cli.from([CapacityCommand], { binaryName: "capacity" }).run(process.argv.slice(2));
process.exit();
