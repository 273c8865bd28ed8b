/** Measures a gateway's processor time in consecutive phases: start, idle, turns, plain calls. */
import { setTimeout as wait } from "node:timers/promises";
import { Pool } from "undici";
import { sampleCall } from "../../standins/platform/sample-call.ts";
import type { SampleRequest } from "../../standins/platform/sample-request.ts";
import { sampleTurn } from "../../standins/platform/sample-turn.ts";
import type { CostCluster } from "./cost-cluster.ts";

/** Duration and request rates of a measurement. */
export interface CostPlan {
  /** Length of each phase, in ms. */
  readonly durationMs: number;
  readonly turnsPerSecond: number;
  readonly callsPerSecond: number;
}

/** Mean costs of one gateway; processor time in ms. */
export interface GatewayCosts {
  /** The whole run: the total varies less between runs than its small parts do. */
  readonly totalMs: number;
  readonly startMs: number;
  readonly idleMsPerSecond: number;
  readonly turnMs: number;
  readonly callMs: number;
  /** Write system calls. */
  readonly idleWritesPerSecond: number;
  readonly turnWrites: number;
  /** Number of requests that were not answered with status 200. */
  readonly failed: number;
  readonly megabytes: number;
}

const OK = 200;
const MS_PER_SECOND = 1_000;
/** Time after the start for membership and partitions to settle, in ms; counted as part of the start. */
const SETTLE_MS = 3_000;
/** Time for the last requests of a phase to complete, in ms. */
const DRAIN_MS = 500;

/** Starts the cluster and runs all phases. Returns the costs of each bundle, in the order of the cluster's bundles. */
export async function measureCosts(cluster: CostCluster, plan: CostPlan): Promise<GatewayCosts[]> {
  await cluster.start();
  await wait(SETTLE_MS);
  const startUsages = await readUsage(cluster);
  const idleUsages = await measureIdle(cluster, plan.durationMs);
  const load = new LoadGenerator(cluster, plan.durationMs, idleUsages);
  const turnUsages = await load.run(plan.turnsPerSecond, sampleTurn);
  const callUsages = await load.run(plan.callsPerSecond, sampleCall);
  const totalUsages = await readUsage(cluster);
  const megabytes = await Promise.all(cluster.bundles.map((bundle) => cluster.megabytes(bundle)));
  await load.close();
  return cluster.bundles.map((_, index) => ({
    totalMs: (totalUsages[index] as Usage).processorMs,
    startMs: (startUsages[index] as Usage).processorMs,
    idleMsPerSecond: (idleUsages[index] as Usage).processorMs,
    turnMs: (turnUsages[index] as Usage).processorMs,
    callMs: (callUsages[index] as Usage).processorMs,
    idleWritesPerSecond: (idleUsages[index] as Usage).writes,
    turnWrites: (turnUsages[index] as Usage).writes,
    failed: load.failed,
    megabytes: megabytes[index] as number,
  }));
}

/** Resource usage of a gateway: so far, per second or per request. */
interface Usage {
  readonly processorMs: number;
  readonly writes: number;
}

/** Reads the mean usage so far of the gateways of each bundle. */
function readUsage(cluster: CostCluster): Promise<Usage[]> {
  return Promise.all(
    cluster.bundles.map(async (bundle) => {
      const [processorMs, writes] = await Promise.all([cluster.processorMs(bundle), cluster.writes(bundle)]);
      return { processorMs, writes };
    }),
  );
}

/** Returns the usage between `before` and `after`, less `idle` for each of `seconds`, divided by `parts`. */
function averageUsage(after: Usage, before: Usage, idle: Usage, seconds: number, parts: number): Usage {
  return {
    processorMs: (after.processorMs - before.processorMs - idle.processorMs * seconds) / parts,
    writes: (after.writes - before.writes - idle.writes * seconds) / parts,
  };
}

const NO_USAGE: Usage = { processorMs: 0, writes: 0 };

/** Measures the usage per idle second, for each bundle. */
async function measureIdle(cluster: CostCluster, durationMs: number): Promise<Usage[]> {
  const before = await readUsage(cluster);
  await wait(durationMs);
  const after = await readUsage(cluster);
  const seconds = durationMs / MS_PER_SECOND;
  return after.map((one, index) => averageUsage(one, before[index] as Usage, NO_USAGE, 0, seconds));
}

/** Sends requests at a fixed rate, to the gateways round-robin. */
class LoadGenerator {
  readonly #cluster: CostCluster;
  readonly #durationMs: number;
  /** Usage per idle second of a gateway of each bundle. */
  readonly #idleUsages: readonly Usage[];
  readonly #pools: Pool[];
  failed = 0;

  constructor(cluster: CostCluster, durationMs: number, idleUsages: readonly Usage[]) {
    this.#cluster = cluster;
    this.#durationMs = durationMs;
    this.#idleUsages = idleUsages;
    this.#pools = cluster.gateways.map(({ callers }) => new Pool(`http://${callers}`, { connections: 4 }));
  }

  /** Sends requests for the phase's duration. Returns the usage per request beyond idle usage, for each bundle. */
  async run(perSecond: number, requestOf: (index: number) => SampleRequest): Promise<Usage[]> {
    const startedMs = performance.now();
    const before = await readUsage(this.#cluster);
    let sent = 0;
    while (performance.now() - startedMs < this.#durationMs) {
      const dueRequests = ((performance.now() - startedMs) / MS_PER_SECOND) * perSecond;
      for (; sent < dueRequests; sent += 1) void this.#send(sent, requestOf(sent));
      await wait(5);
    }
    await wait(DRAIN_MS);
    const after = await readUsage(this.#cluster);
    const elapsedS = (performance.now() - startedMs) / MS_PER_SECOND;
    const sentPerGateway = sent / this.#pools.length;
    return after.map((one, index) =>
      averageUsage(one, before[index] as Usage, this.#idleUsages[index] as Usage, elapsedS, sentPerGateway),
    );
  }

  async close(): Promise<void> {
    await Promise.all(this.#pools.map((pool) => pool.destroy()));
  }

  async #send(index: number, { path, headers, body }: SampleRequest): Promise<void> {
    const pool = this.#pools[index % this.#pools.length] as Pool;
    try {
      const answer = await pool.request({ path, method: "POST", headers, body });
      await answer.body.dump();
      if (answer.statusCode !== OK) this.failed += 1;
    } catch {
      this.failed += 1;
    }
  }
}
