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

/** See the module's comment. Returns the costs of each bundle, in the order of the cluster's. */
export async function measureCosts(cluster: CostCluster, plan: CostPlan): Promise<GatewayCosts[]> {
  await cluster.start();
  await wait(SETTLE_MS);
  const starts = await processorTimes(cluster);
  const rests = await measureRest(cluster, plan.durationMs);
  const load = new Load(cluster, plan.durationMs, rests);
  const turns = await load.run(plan.turnsPerSecond, sampleTurn);
  const calls = await load.run(plan.callsPerSecond, sampleCall);
  const sizes = await Promise.all(cluster.bundles.map((bundle) => cluster.megabytes(bundle)));
  await load.close();
  return cluster.bundles.map((_, index) => ({
    startMs: starts[index] as number,
    restMsPerSecond: rests[index] as number,
    turnMs: turns[index] as number,
    callMs: calls[index] as number,
    failed: load.failed,
    megabytes: sizes[index] as number,
  }));
}

/** Of a gateway of each bundle so far, in ms. */
function processorTimes(cluster: CostCluster): Promise<number[]> {
  return Promise.all(cluster.bundles.map((bundle) => cluster.processorMs(bundle)));
}

async function measureRest(cluster: CostCluster, durationMs: number): Promise<number[]> {
  const before = await processorTimes(cluster);
  await wait(durationMs);
  const after = await processorTimes(cluster);
  return after.map((time, index) => ((time - (before[index] as number)) / durationMs) * MS_PER_S);
}

/** Sends requests at a rate, to the gateways in turn. */
class Load {
  readonly #cluster: CostCluster;
  readonly #durationMs: number;
  /** Of a gateway of each bundle. */
  readonly #restMsPerSecond: readonly number[];
  readonly #pools: Pool[];
  failed = 0;

  constructor(cluster: CostCluster, durationMs: number, restMsPerSecond: readonly number[]) {
    this.#cluster = cluster;
    this.#durationMs = durationMs;
    this.#restMsPerSecond = restMsPerSecond;
    this.#pools = cluster.gateways.map(({ callers }) => new Pool(`http://${callers}`, { connections: 4 }));
  }

  /** Processor time per request beyond that of gateways at rest, in ms, of each bundle. */
  async run(perSecond: number, requestOf: (index: number) => SampleRequest): Promise<number[]> {
    const startedMs = performance.now();
    const before = await processorTimes(this.#cluster);
    let sent = 0;
    while (performance.now() - startedMs < this.#durationMs) {
      const due = ((performance.now() - startedMs) / MS_PER_S) * perSecond;
      for (; sent < due; sent += 1) void this.#send(sent, requestOf(sent));
      await wait(5);
    }
    await wait(DRAIN_MS);
    const after = await processorTimes(this.#cluster);
    const elapsedS = (performance.now() - startedMs) / MS_PER_S;
    const sentEach = sent / this.#pools.length;
    return after.map((time, index) => {
      const atRestMs = (this.#restMsPerSecond[index] as number) * elapsedS;
      return (time - (before[index] as number) - atRestMs) / sentEach;
    });
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
