/** Measures the parts of a gateway's processor time one after the other: start, rest, turns, plain calls. */
import { setTimeout as wait } from "node:timers/promises";
import { Pool } from "undici";
import { sampleCall } from "../../standins/platform/sample-call.ts";
import type { SampleRequest } from "../../standins/platform/sample-request.ts";
import { sampleTurn } from "../../standins/platform/sample-turn.ts";
import type { CostCluster } from "./cost-cluster.ts";

/** What is measured, and for how long. */
export interface CostPlan {
  /** Length of each part, in ms. */
  readonly durationMs: number;
  readonly turnsPerSecond: number;
  readonly callsPerSecond: number;
}

/** Means of one gateway; processor time in ms. */
export interface GatewayCosts {
  /** The whole run: what is little apart differs less from run to run together. */
  readonly totalMs: number;
  readonly startMs: number;
  readonly idleMsPerSecond: number;
  readonly turnMs: number;
  readonly callMs: number;
  /** System calls that write. */
  readonly idleWritesPerSecond: number;
  readonly turnWrites: number;
  /** Requests that were not answered with 200. */
  readonly failed: number;
  readonly megabytes: number;
}

const OK = 200;
const MS_PER_SECOND = 1_000;
/** Time after the start in which members and partitions settle, in ms; it belongs to the start. */
const SETTLE_MS = 3_000;
/** Time for the last requests of a part to end, in ms. */
const DRAIN_MS = 500;

/** See the module's comment. Returns the costs of each bundle, in the order of the cluster's. */
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

/** What a gateway has used so far, or uses a second, or for a request. */
interface Usage {
  readonly processorMs: number;
  readonly writes: number;
}

/** Of a gateway of each bundle, so far. */
function readUsage(cluster: CostCluster): Promise<Usage[]> {
  return Promise.all(
    cluster.bundles.map(async (bundle) => {
      const [processorMs, writes] = await Promise.all([cluster.processorMs(bundle), cluster.writes(bundle)]);
      return { processorMs, writes };
    }),
  );
}

/** What came after `before`, less `rest` for each of `seconds`, in `parts` parts. */
function averageUsage(after: Usage, before: Usage, idle: Usage, seconds: number, parts: number): Usage {
  return {
    processorMs: (after.processorMs - before.processorMs - idle.processorMs * seconds) / parts,
    writes: (after.writes - before.writes - idle.writes * seconds) / parts,
  };
}

const NO_USAGE: Usage = { processorMs: 0, writes: 0 };

/** A second at rest. */
async function measureIdle(cluster: CostCluster, durationMs: number): Promise<Usage[]> {
  const before = await readUsage(cluster);
  await wait(durationMs);
  const after = await readUsage(cluster);
  const seconds = durationMs / MS_PER_SECOND;
  return after.map((one, index) => averageUsage(one, before[index] as Usage, NO_USAGE, 0, seconds));
}

/** Sends requests at a rate, to the gateways in turn. */
class LoadGenerator {
  readonly #cluster: CostCluster;
  readonly #durationMs: number;
  /** A second at rest of a gateway of each bundle. */
  readonly #idleUsages: readonly Usage[];
  readonly #pools: Pool[];
  failed = 0;

  constructor(cluster: CostCluster, durationMs: number, idleUsages: readonly Usage[]) {
    this.#cluster = cluster;
    this.#durationMs = durationMs;
    this.#idleUsages = idleUsages;
    this.#pools = cluster.gateways.map(({ callers }) => new Pool(`http://${callers}`, { connections: 4 }));
  }

  /** What a request takes beyond what gateways take at rest, of each bundle. */
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
