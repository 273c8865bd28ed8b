import { Cluster, pause } from "../../test/process/support/cluster.ts";
import { SHARDS_PER_NODE, TARGET_TIMING } from "./hollow-cluster.ts";

/** Cost of idle node processes; traffic and processor time are per node and second. */
export interface ProcessMeasurement {
  readonly nodes: number;
  readonly bytes: number;
  readonly messages: number;
  readonly cpuPercent: number;
  /** Total resident memory of a process, including Node.js itself. */
  readonly residentMegabytes: number;
}

const SETTLE_MS = 8_000;
const WINDOW_MS = 15_000;
const MS_PER_SECOND = 1_000;
const BYTES_PER_MEGABYTE = 1_048_576;
const PERCENT = 100;

/** Runs node processes on loopback with the stand-ins, with the target's timing and without calls. */
export async function measureNodeProcesses(nodes: number): Promise<ProcessMeasurement> {
  const engines = Array.from({ length: nodes }, (_, index) => ({
    name: `runner-${index}`,
    models: ["model-1"],
  }));
  const timing = flatten("timing", TARGET_TIMING);
  const cluster = await Cluster.start({ nodes, engines, shards: nodes * SHARDS_PER_NODE, settings: timing });
  try {
    await pause(SETTLE_MS);
    const before = await readTotals(cluster);
    await pause(WINDOW_MS);
    const after = await readTotals(cluster);
    const perNodeAndSecond = MS_PER_SECOND / (nodes * WINDOW_MS);
    return {
      nodes,
      bytes: (after.bytes - before.bytes) * perNodeAndSecond,
      messages: (after.messages - before.messages) * perNodeAndSecond,
      cpuPercent: (after.cpuSeconds - before.cpuSeconds) * perNodeAndSecond * PERCENT,
      residentMegabytes: after.residentBytes / nodes / BYTES_PER_MEGABYTE,
    };
  } finally {
    await cluster.stop();
  }
}

async function readTotals(cluster: Cluster) {
  const sum = { bytes: 0, messages: 0, cpuSeconds: 0, residentBytes: 0 };
  for (const node of cluster.nodes) {
    const text = await (await fetch(`http://${node.metrics}/metrics`)).text();
    sum.bytes += readMetric(text, "tulipwheel_internal_bytes_sent_total");
    sum.messages += readMetric(text, "tulipwheel_internal_messages_sent_total");
    sum.cpuSeconds += readMetric(text, "process_cpu_seconds_total");
    sum.residentBytes += readMetric(text, "process_resident_memory_bytes");
  }
  return sum;
}

function readMetric(text: string, name: string): number {
  return Number(new RegExp(`^${name} (\\S+)`, "m").exec(text)?.[1] ?? Number.NaN);
}

function flatten(path: string, value: object): Record<string, string | number> {
  const flat: Record<string, string | number> = {};
  for (const [key, inner] of Object.entries(value)) {
    if (typeof inner === "object") Object.assign(flat, flatten(`${path}.${key}`, inner));
    else flat[`${path}.${key}`] = inner;
  }
  return flat;
}
