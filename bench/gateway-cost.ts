/**
 * `npm run gateway-cost -- [--sizes 40,100] [--seconds 10] [--profile FOLDER]`: measures the cost of one gateway process
 * in a cluster of each size. Starts processes of the bundle (`npm run build:gateway`) on loopback, with stand-ins of the
 * store and of runners in this process, and reports processor time by phase: start, an idle second, a turn, a plain call.
 * With `--check BUNDLE` every other gateway runs an earlier build, and the costs of both builds and their ratios are
 * printed: run side by side, both see the same load on the machine. With `--profile` one gateway writes a CPU profile to
 * a folder.
 */
import { existsSync } from "node:fs";
import { parseArgs } from "node:util";
import { runtimeFlags } from "./build/runtime-flags.mjs";
import { CostCluster } from "./gateway-cost/cost-cluster.ts";
import { type GatewayCosts, measureCosts } from "./gateway-cost/measure-costs.ts";

const MS_PER_SECOND = 1_000;
const INVALID_INPUT = 2;

const { values } = parseArgs({
  options: {
    sizes: { type: "string", default: "40,100" },
    zones: { type: "string", default: "5" },
    runners: { type: "string", default: "48" },
    seconds: { type: "string", default: "10" },
    turns: { type: "string", default: "2" },
    calls: { type: "string", default: "2" },
    bundle: { type: "string", default: "target/gateway.cjs" },
    check: { type: "string" },
    profile: { type: "string" },
    flags: { type: "string" },
  },
});

const bundles = values.check === undefined ? [values.bundle] : [values.check, values.bundle];
for (const bundle of bundles) {
  if (existsSync(bundle)) continue;
  process.stderr.write(`${bundle} does not exist: run npm run build:gateway first.\n`);
  process.exit(INVALID_INPUT);
}
process.stdout.write(
  "gateways  whole ms  start ms  at rest ms/s  turn ms  call ms  at rest writes/s  turn writes  failed  MB each\n",
);
for (const gateways of values.sizes.split(",").map(Number)) {
  const cluster = new CostCluster({
    gateways,
    zones: Number(values.zones),
    runners: Number(values.runners),
    bundles,
    flags: values.flags?.split(" ") ?? runtimeFlags(),
    profileFolder: values.profile,
  });
  try {
    const costs = await measureCosts(cluster, {
      durationMs: Number(values.seconds) * MS_PER_SECOND,
      turnsPerSecond: Number(values.turns) * gateways,
      callsPerSecond: Number(values.calls) * gateways,
    });
    for (const cost of costs) process.stdout.write(`${formatRow(String(gateways), cost)}\n`);
    const [before, after] = costs;
    if (before && after) process.stdout.write(`${formatRow("ratio", ratiosOf(before, after))}\n`);
  } finally {
    await cluster.stop();
  }
}

function formatRow(title: string, costs: GatewayCosts): string {
  const columns = [
    title.padStart(8),
    costs.totalMs.toFixed(2).padStart(9),
    costs.startMs.toFixed(2).padStart(9),
    costs.idleMsPerSecond.toFixed(2).padStart(13),
    costs.turnMs.toFixed(2).padStart(8),
    costs.callMs.toFixed(2).padStart(8),
    costs.idleWritesPerSecond.toFixed(2).padStart(17),
    costs.turnWrites.toFixed(2).padStart(12),
    String(costs.failed).padStart(7),
    costs.megabytes.toFixed(2).padStart(8),
  ];
  return columns.join(" ");
}

/** Returns each cost of the later build divided by that of the earlier build. */
function ratiosOf(before: GatewayCosts, after: GatewayCosts): GatewayCosts {
  return {
    totalMs: after.totalMs / before.totalMs,
    startMs: after.startMs / before.startMs,
    idleMsPerSecond: after.idleMsPerSecond / before.idleMsPerSecond,
    turnMs: after.turnMs / before.turnMs,
    callMs: after.callMs / before.callMs,
    idleWritesPerSecond: after.idleWritesPerSecond / before.idleWritesPerSecond,
    turnWrites: after.turnWrites / before.turnWrites,
    failed: after.failed,
    megabytes: after.megabytes / before.megabytes,
  };
}
