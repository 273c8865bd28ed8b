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
  readonly startMs: number;
  readonly restMsPerSecond: number;
  readonly turnMs: number;
  readonly callMs: number;
  /** Requests that were not answered with 200. */
  readonly failed: number;
  readonly megabytes: number;
}

const OK = 200;
const MS_PER_S = 1_000;
/** Time after the start in which members and partitions settle, in ms; it belongs to the start. */
const SETTLE_MS = 3_000;
/** Time for the last requests of a part to end, in ms. */
const DRAIN_MS = 500;

/** See the module's comment. */
export async function measureCosts(cluster: CostCluster, plan: CostPlan): Promise<GatewayCosts> {
  await cluster.start();
  await wait(SETTLE_MS);
  const gateways = cluster.gateways.length;
  const startMs = (await cluster.processorMs()) / gateways;
  const restMsPerSecond = await measureRest(cluster, plan.durationMs);
  const load = new Load(cluster, plan.durationMs, restMsPerSecond);
  const turnMs = await load.run(plan.turnsPerSecond, sampleTurn);
  const callMs = await load.run(plan.callsPerSecond, sampleCall);
  const megabytes = (await cluster.megabytes()) / gateways;
  await load.close();
  return { startMs, restMsPerSecond, turnMs, callMs, failed: load.failed, megabytes };
}

async function measureRest(cluster: CostCluster, durationMs: number): Promise<number> {
  const before = await cluster.processorMs();
  await wait(durationMs);
  const used = (await cluster.processorMs()) - before;
  return (used / cluster.gateways.length / durationMs) * MS_PER_S;
}

/** Sends requests at a rate, to the gateways in turn. */
class Load {
  readonly #cluster: CostCluster;
  readonly #durationMs: number;
  readonly #restMsPerSecond: number;
  readonly #pools: Pool[];
  failed = 0;

  constructor(cluster: CostCluster, durationMs: number, restMsPerSecond: number) {
    this.#cluster = cluster;
    this.#durationMs = durationMs;
    this.#restMsPerSecond = restMsPerSecond;
    this.#pools = cluster.gateways.map(({ callers }) => new Pool(`http://${callers}`, { connections: 4 }));
  }

  /** Processor time per request beyond that of gateways at rest, in ms. */
  async run(perSecond: number, requestOf: (index: number) => SampleRequest): Promise<number> {
    const startedMs = performance.now();
    const before = await this.#cluster.processorMs();
    let sent = 0;
    while (performance.now() - startedMs < this.#durationMs) {
      const due = ((performance.now() - startedMs) / MS_PER_S) * perSecond;
      for (; sent < due; sent += 1) void this.#send(sent, requestOf(sent));
      await wait(5);
    }
    await wait(DRAIN_MS);
    const used = (await this.#cluster.processorMs()) - before;
    const elapsedS = (performance.now() - startedMs) / MS_PER_S;
    return (used - this.#restMsPerSecond * elapsedS * this.#pools.length) / sent;
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
