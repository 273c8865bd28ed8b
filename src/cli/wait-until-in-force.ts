import { requestError } from "../errors/tulipwheel-error.ts";
import { delay, SystemClock } from "../runtime/clock.ts";
import type { OperatorClient } from "./operator-client.ts";

const TIMEOUT_MS = 12_000;
const POLL_INTERVAL_MS = 50;

/** Waits until every node of the cluster has applied a configuration version. Returns the waiting time in ms. */
export async function waitUntilInForce(client: OperatorClient, version: number): Promise<number> {
  const clock = new SystemClock();
  const startMs = clock.monotonicMs();
  for (;;) {
    const behind = await nodesBehind(client, version);
    const waitedMs = Math.round(clock.monotonicMs() - startMs);
    if (behind.length === 0) return waitedMs;
    if (waitedMs > TIMEOUT_MS) {
      const detail = `Version ${version} is accepted, but after ${waitedMs} ms not in force on ${behind.join(", ")}.`;
      throw requestError("unavailable", detail, { outcome: "unknown" });
    }
    await delay(clock, POLL_INTERVAL_MS);
  }
}

async function nodesBehind(client: OperatorClient, version: number): Promise<string[]> {
  const { nodes } = await client.cluster();
  const behind = await Promise.all(
    nodes.map(async ({ instance, address }) => {
      const view = await client.ask("readCluster", {}, address).catch(() => undefined);
      return view && view.configurationVersion >= version ? [] : [instance];
    }),
  );
  return behind.flat();
}
